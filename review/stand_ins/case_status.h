#ifndef REVIEW_STAND_INS_CASE_STATUS_H_
#define REVIEW_STAND_INS_CASE_STATUS_H_

namespace review {

// What the exit status of a case means.
enum case_status { kHeld = 0, kBroken = 1, kCannotRun = 2 };

// Whether the case is to be played with its disruption: always, but if the
// environment has TROUBLE=0.
bool HasTrouble();

}  // namespace review

#endif  // REVIEW_STAND_INS_CASE_STATUS_H_
