#include "queueing/slotaccount.h"

#include <algorithm>

namespace endiveshore::queueing {

SlotAccount::SlotAccount(unsigned limit)
    : slotLimit(limit)
{
}

void SlotAccount::setLimit(unsigned limit)
{
    this->slotLimit = limit;
}

bool SlotAccount::tryAcquire()
{
    if (this->available() == 0) {
        return false;
    }
    ++this->slotsInUse;
    return true;
}

void SlotAccount::release()
{
    if (this->slotsInUse > 0) {
        --this->slotsInUse;
    }
}

void SlotAccount::startHandover()
{
    this->handover = true;
    this->usedByOthers = this->slotLimit;
}

void SlotAccount::reportInUseByOthers(unsigned count)
{
    if (!this->handover) {
        return;
    }
    this->usedByOthers = std::min(this->usedByOthers, count);
    if (this->usedByOthers == 0) {
        this->endHandover();
    }
}

void SlotAccount::endHandover()
{
    this->handover = false;
    this->usedByOthers = 0;
}

unsigned SlotAccount::limit() const
{
    return this->slotLimit;
}

unsigned SlotAccount::inUse() const
{
    return this->slotsInUse;
}

unsigned SlotAccount::available() const
{
    const unsigned taken = this->slotsInUse + this->usedByOthers;
    return taken < this->slotLimit ? this->slotLimit - taken : 0;
}

bool SlotAccount::inHandover() const
{
    return this->handover;
}

}
