/**
 * Limits on the crashes of endpoints that are put down to one task, and on starts of such a task. The platform bears five starts of a task that crashes
 * its endpoints; docs/decisions/0015 compares the limits.
 */
export const crashLimits = {
  /** Number of crashes with sole blame at which a task is over the crash limit. */
  maxSoleCrashes: 2,
  /** The preceding limit while there are unexplained crashes, which may coincide with starts of a healthy task. */
  maxSoleDuringUnexplained: 3,
  /** Time after a crash that no task is to blame for during which there are unexplained crashes, in milliseconds. */
  unexplainedCrashMs: 30_000,
  /** Number of crashes with sole or shared blame at which a task is over the crash limit. */
  maxLikelyCrashes: 4,
  /** Number of crashes with any degree of blame, confirmed or not, at which a task is over the crash limit. */
  maxCrashes: 5,
  /** Number of crash records from which a task's unconfirmed crashes count towards `maxCrashes` and `suspectAfterCrashes`. */
  minCrashesWithUnconfirmed: 2,
  /** Highest number of unconfirmed crashes kept with a task: the newest. */
  maxUnconfirmedCrashes: 5,
  /** Number of crashes with any degree of blame from which a task is a crash suspect. */
  suspectAfterCrashes: 3,
  /** Number of crashes with any degree of blame from which a task is not started beside a crash suspect in its startup. */
  protectedAfterCrashes: 2,
  /**
   * Time after its placement, or its recovery by a new leader, during which a suspect's run that isn't past its startup delays its siblings, in
   * milliseconds: longer than the lease of an endpoint that falls silent under this leader, and shorter than leases of earlier leaders may last.
   */
  maxSiblingWaitMs: 5000,
  /** Most suspects of a long-running step in their startup at the same time, so that few endpoints crash if only some of them are harmful. */
  maxStartingSuspects: 4,
  /** Age of a run, as listed by a poll, from which it is past its startup, in milliseconds. */
  startupMs: 300,
  /**
   * A run clears its task of a crash once its age is this many times the age of the run in that crash, plus `clearedAgeOffsetMs`: a task that crashes
   * its endpoints does so at about the same age.
   */
  clearedAgeFactor: 2,
  /** Time added to the age in the crash multiplied by `clearedAgeFactor`, in milliseconds. */
  clearedAgeOffsetMs: 1000,
  /** Age at which a run clears its task of all crashes, in milliseconds. */
  maxClearedAgeMs: 60_000,
  /** Assumed age of a run that an earlier leader placed, in milliseconds. */
  unknownAgeMs: 4500,
  /** Backoff after the first crash with sole blame, in milliseconds; doubles with each further one. */
  initialBackoffMs: 500,
  /** Longest backoff, in milliseconds. The platform counts a job as lost that has nothing running for 3 s. */
  maxBackoffMs: 2000,
  /**
   * Time after the expiry of its lease during which an unreachable endpoint is still polled, also without a record, in milliseconds: a response of
   * another incarnation confirms the crash.
   */
  confirmationMs: 15_000,
  /** Time after an endpoint crash during which crash suspects avoid its machine, in milliseconds. */
  recentMachineCrashMs: 30_000,
} as const;
