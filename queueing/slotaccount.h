#pragma once

namespace endiveshore::queueing {

/// Counts the slots of one backend server that its home daemon uses. Never grants more slots than the limit.
///
/// After a change of home, statements of the previous home may still occupy slots. During this handover the account
/// grants only slots that the server reports as free.
class SlotAccount
{
public:
    explicit SlotAccount(unsigned limit);

    /// Changes the limit. Slots in use above a lowered limit are not granted again after their release.
    void setLimit(unsigned limit);

    /// Takes a slot if one is available.
    bool tryAcquire();

    /// Returns a slot taken by tryAcquire().
    void release();

    /// Starts a handover: no slot is available until the first report.
    void startHandover();

    /// Updates the number of slots that statements of other daemons occupy, from the server's status. Only a lower
    /// count is accepted, because the previous home starts no statements; a higher count is from an outdated report.
    /// Zero ends the handover. Ignored outside a handover.
    void reportInUseByOthers(unsigned count);

    /// Ends the handover, for example when the previous home has released the server.
    void endHandover();

    unsigned limit() const;
    unsigned inUse() const;
    unsigned available() const;
    bool inHandover() const;

private:
    unsigned slotLimit;
    unsigned slotsInUse = 0;
    unsigned usedByOthers = 0;
    bool handover = false;
};

}
