import type { EndpointIncarnation } from '../jobs/EndpointIncarnation';
import type { JobId } from '../jobs/JobId';
import type { TaskName } from '../jobs/TaskName';
import type { AdviceRequestReason } from './advice/AdviceRequestReason';
import type { DispatchCounterName } from './DispatchCounterName';
import type { StartCommand } from './endpoints/StartCommand';
import type { WaitTimes } from './waiting/WaitTimes';

/** A side effect that the dispatcher requests and the `EffectSender` carries out. */
export type DispatchEffect =
  /** Write the job's progress to the log. */
  | { readonly kind: 'record'; readonly job: JobId }
  /** Write the leader's record to the log, since it has to name an extended lease. */
  | { readonly kind: 'recordLeases' }
  /** Write the job's state to the log, as a task of it has begun. Its progress has been written before. */
  | { readonly kind: 'begin'; readonly job: JobId }
  /** Write the job's progress to the log, then send a start command if `Dispatcher.handleStartRecorded` returns true. */
  | {
      readonly kind: 'start';
      readonly job: JobId;
      readonly endpoint: EndpointIncarnation;
      readonly command: StartCommand;
      /** How long the task waited before its placement, by cause. */
      readonly waits: WaitTimes;
    }
  /** Send a stop command for a run to the endpoint. */
  | {
      readonly kind: 'stop';
      readonly endpoint: EndpointIncarnation;
      readonly task: TaskName;
      readonly run: number;
      /** True when an earlier stop command for the run had no response. */
      readonly isRepeated: boolean;
    }
  /** Send an extra poll to the endpoint at once, in addition to the long poll under way. */
  | { readonly kind: 'look'; readonly endpoint: EndpointIncarnation }
  /** Ask the advice service which of the candidates may run the step's tasks. */
  | {
      readonly kind: 'advise';
      /** Job, repetition and index of the step, as `toStepName` formats them. */
      readonly step: string;
      readonly candidates: readonly EndpointIncarnation[];
      /** Time from the request to its response that the queue's settings predict, in milliseconds. */
      readonly expectedResponseMs: number;
      /** True when the request takes one of the slots for long requests. */
      readonly isLongRequest: boolean;
      readonly adviceReason: AdviceRequestReason;
    }
  /** Increase a counter of the metrics by an amount. */
  | { readonly kind: 'count'; readonly name: DispatchCounterName; readonly amount: number }
  /** Write a log line with a message and fields. */
  | { readonly kind: 'tell'; readonly message: string; readonly fields: Readonly<Record<string, unknown>> };
