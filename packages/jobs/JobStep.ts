import type { TaskDemand } from './TaskDemand';

/** A step of a job: `count` identical tasks. */
export interface JobStep {
  readonly count: number;
  readonly demand: TaskDemand;
  /** The caller's estimate of one task's run time in milliseconds; 0 when not given. */
  readonly estimatedMs: number;
  /** Indexes of earlier steps that must be done first. */
  readonly dependsOn: readonly number[];
  /** The tasks are started together and run only together. */
  readonly isGang: boolean;
  /** The gang runs slower when spread over several racks. */
  readonly isSameRack: boolean;
  /** Label that an endpoint must have; empty for none. */
  readonly requiredLabel: string;
  /** Label of the rack that holds the input data; empty for none. */
  readonly dataRack: string;
  /** Maximum number of tasks of the step on one endpoint; 0 for no limit. */
  readonly maxPerEndpoint: number;
  /** The caller allows several runs of a task at the same time. Stored only; scheduling ignores it. */
  readonly allowsDuplicates: boolean;
  /** The tasks run until the job is cancelled, and are restarted whenever they end. */
  readonly isLongRunning: boolean;
  /** The tasks save checkpoints, from which a later run continues. */
  readonly isCheckpointing: boolean;
  /** Name of the image that the tasks run, by which run times are learnt; empty when not given. */
  readonly image: string;
  /** Tail latency objective of a long-running task in milliseconds; 0 for none. */
  readonly targetMs: number;
  /** The tasks use only processor time that other tasks leave idle. */
  readonly isFiller: boolean;
  /** How many tasks of a long-running step the scheduler may interrupt at the same time. */
  readonly missAllowed: number;
}
