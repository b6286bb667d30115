import type { EndpointIncarnation } from '../jobs/EndpointIncarnation';
import type { JobId } from '../jobs/JobId';
import type { TaskName } from '../jobs/TaskName';
import type { AdviceRequestReason } from './advice/AdviceRequestReason';
import type { DispatchCounterName } from './DispatchCounterName';
import type { StartCommand } from './endpoints/StartCommand';
import type { WaitTimes } from './waiting/WaitTimes';

/** What the dispatcher wants done. */
export type DispatchEffect =
  /** Write the job's progress to the log; then call `Dispatcher.handleRecorded` with the starts that it carries. */
  | { readonly kind: 'record'; readonly job: JobId }
  /** Send a start, once the record that carries it is durable. */
  | {
      readonly kind: 'start';
      readonly job: JobId;
      readonly endpoint: EndpointIncarnation;
      readonly command: StartCommand;
      /** What the task had waited for until it was placed. */
      readonly waits: WaitTimes;
    }
  | {
      readonly kind: 'stop';
      readonly endpoint: EndpointIncarnation;
      readonly task: TaskName;
      readonly run: number;
      /** The stop was sent before and had no answer. */
      readonly isRepeated: boolean;
    }
  /** Look at the endpoint at once, beside the look under way. */
  | { readonly kind: 'look'; readonly endpoint: EndpointIncarnation }
  | {
      readonly kind: 'advise';
      readonly step: string;
      readonly endpoints: readonly EndpointIncarnation[];
      readonly expectedMs: number;
      readonly isLong: boolean;
      readonly cause: AdviceRequestReason;
    }
  /** Counts something for the metrics. */
  | { readonly kind: 'count'; readonly name: DispatchCounterName; readonly amount: number }
  /** A line for the log. */
  | { readonly kind: 'tell'; readonly message: string; readonly fields: Readonly<Record<string, unknown>> };
