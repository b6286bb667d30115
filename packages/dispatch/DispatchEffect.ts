import type { EndpointIncarnation } from '../jobs/EndpointIncarnation';
import type { JobId } from '../jobs/JobId';
import type { TaskName } from '../jobs/TaskName';
import type { AdviceRequestReason } from './advice/AdviceRequestReason';
import type { DispatchCounterName } from './DispatchCounterName';
import type { StartCommand } from './endpoints/StartCommand';
import type { WaitTimes } from './waiting/WaitTimes';

/** A side effect that the dispatcher requests. */
export type DispatchEffect =
  /** Write the job's progress to the log, then call `Dispatcher.handleStartRecorded` for each start in it. */
  | { readonly kind: 'record'; readonly job: JobId }
  /** Send a start command once the job's progress is durable. */
  | {
      readonly kind: 'start';
      readonly job: JobId;
      readonly endpoint: EndpointIncarnation;
      readonly command: StartCommand;
      /** How long the task waited before its placement, by cause. */
      readonly waits: WaitTimes;
    }
  /** Send a stop command. */
  | {
      readonly kind: 'stop';
      readonly endpoint: EndpointIncarnation;
      readonly task: TaskName;
      readonly run: number;
      /** An earlier stop command for the run had no response. */
      readonly isRepeated: boolean;
    }
  /** Poll the endpoint at once, in addition to the poll under way. */
  | { readonly kind: 'look'; readonly endpoint: EndpointIncarnation }
  /** Ask the advice service which of the endpoints may run the step. */
  | {
      readonly kind: 'advise';
      readonly step: string;
      readonly candidates: readonly EndpointIncarnation[];
      /** Expected time until the response, in milliseconds. */
      readonly expectedResponseMs: number;
      /** Takes a slot for long requests. */
      readonly isLong: boolean;
      readonly cause: AdviceRequestReason;
    }
  /** Increase a counter of the metrics. */
  | { readonly kind: 'count'; readonly name: DispatchCounterName; readonly amount: number }
  /** Write a log line. */
  | { readonly kind: 'tell'; readonly message: string; readonly fields: Readonly<Record<string, unknown>> };
