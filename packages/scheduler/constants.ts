/** Fixed numbers of the decision core. */
export const SCHEDULER = {
  /** Most tasks of one shape that the room index tells apart on a worker. */
  maxFit: 64,
  /** A batch request with less slack than this many expected run times is urgent. */
  urgentSlackRuns: 2,
  /** Preemption looks at most at this many running tasks. */
  preemptionScan: 64,
  /** Smallest retry-after bound in milliseconds. */
  minRetryAfterMs: 1000,
  /** Largest retry-after bound in milliseconds. */
  maxRetryAfterMs: 60_000,
  /** A long run is the mean plus this many mean deviations. */
  longRunDeviations: 3,
  /** The headroom that service requests have claimed halves in this time, in milliseconds. */
  headroomHalfLifeMs: 10_000,
  /** Headroom is at most this part of the slots. */
  maxHeadroomPart: 0.25,
  /** A worker whose tasks run this many times as long as the mean counts as slow. */
  slowFactor: 2,
  /** A single run counts at most this many times its row's mean against a worker. */
  maxPace: 20,
  /** A worker's slowness above 1 halves in this time without news, in milliseconds. */
  slownessHalfLifeMs: 60_000,
  /** Weight of the newest run time in a row's moving average. */
  runTimeSmoothing: 0.1,
} as const;
