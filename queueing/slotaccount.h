#pragma once

namespace endiveshore::queueing {

/// Counts the slots of one backend server that its home daemon uses. Never hands out more than the limit.
///
/// After a change of home, statements of the previous home may still occupy slots. During this handover the account
/// hands out only what the server's reports show as free.
class SlotAccount
{
public:
    explicit SlotAccount(unsigned limit);

    /// Changes the limit. Slots in use above a lower limit drain without being replaced.
    void setLimit(unsigned limit);

    /// Takes a slot if one is available.
    bool tryAcquire();

    /// Returns a slot taken by tryAcquire().
    void release();

    /// Starts a handover: no slot is available until the first report.
    void startHandover();

    /// Slots that statements of other daemons occupy, from the server's status. Only a falling count is taken over,
    /// because the previous home starts no statements; zero ends the handover. Ignored outside a handover.
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
