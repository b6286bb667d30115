/**
 * What is made of endpoints that end under a task. Such a task is started five times at most by the users' rules: they lose an endpoint
 * and all that runs there with each start. The figures of giving up and of probation are compared in docs/decisions/0015.
 */
export const crashLimits = {
  /** A task is given up once so many endpoints ended with its run as the only one that had just begun. */
  maxSole: 2,
  /**
   * The same where endpoints have lately been lost for which no start can be blamed: two losses from outside within 0.1 s of two starts of one
   * task look like a harmful one. One start more is borne, so that no sound job is given up for them.
   */
  maxSoleDuringLosses: 3,
  /** An endpoint that was lost with no start to blame makes others doubtful for so long, in milliseconds. */
  unexplainedLossMs: 30_000,
  /** The same for those that it may have ended by starting, also where it was not the only one. */
  maxLikely: 4,
  /** The same for all that ended, or may have, while it ran there: the fence where evidence is late or weak. One start more is too many. */
  maxAll: 5,
  /** A task under which so many endpoints have ended, whatever it was beside, is started apart from others under suspicion. */
  isolatedAfterCrashes: 3,
  /** A task under which so many endpoints have ended waits rather than begin beside a task under suspicion that has just begun. */
  protectedAfterCrashes: 2,
  /** A run that a look listed at this age or later did not end its endpoint by starting, in milliseconds. */
  startupMs: 300,
  /**
   * A run that is listed at so many times the age at which an earlier one was last listed, and so many milliseconds more, clears its task of that
   * crash: a task that ends its endpoints does so at about the same age.
   */
  clearedAgeFactor: 2,
  clearedAgeMs: 1000,
  /** A run that is listed at this age clears its task in any case: one that lasts may live through many crashes that are not its own. */
  maxClearedAgeMs: 60_000,
  /** Taken for the age of a run that an earlier leader placed. */
  unknownAgeMs: 4500,
  /** Wait before the next start of a task that was the only one to blame, in milliseconds; doubles with each crash. */
  initialBackoffMs: 500,
  /** Longest such wait: a job that has nothing running for 3 s counts as lost. */
  maxBackoffMs: 2000,
  /**
   * An endpoint that fell silent for good is looked at for so long after its lease, also without a record, in milliseconds: if another life
   * answers there, it crashed.
   */
  confirmationMs: 15_000,
  /** A machine that crashed so lately is left to others than tasks under suspicion, in milliseconds. */
  recentCrashMs: 30_000,
} as const;
