import type { TaskDemand } from './TaskDemand';

/** One step of a job: `count` like tasks. */
export interface JobStep {
  readonly count: number;
  readonly demand: TaskDemand;
  /** The caller's rough guess of one task's run time; 0 when not given. */
  readonly estimatedMs: number;
  /** Numbers of the earlier steps whose tasks must all be done first. */
  readonly dependsOn: readonly number[];
  /** The tasks work only together, and start together. */
  readonly isGang: boolean;
  /** A gang that is slower when spread over more than one rack. */
  readonly isSameRack: boolean;
  /** Label that the endpoint must have; empty for none. */
  readonly requiredLabel: string;
  /** Rack label that holds the data; empty for none. */
  readonly dataRack: string;
  /** Most tasks of the step on one endpoint; 0 for no limit. */
  readonly maxPerEndpoint: number;
  readonly allowsDuplicates: boolean;
  /** The tasks run until the job is cancelled, and are started again however they end. */
  readonly isLongRunning: boolean;
  readonly isCheckpointing: boolean;
  /** What the tasks run; tasks of one image behave alike. Empty when not given. */
  readonly image: string;
  /** Bound for the tail latency of a long-running task in milliseconds; 0 for none. */
  readonly targetMs: number;
  /** The tasks take only processor time that others leave unused. */
  readonly isFiller: boolean;
  /** How many tasks of a long-running step may be away at once by the scheduler's doing. */
  readonly missAllowed: number;
}
