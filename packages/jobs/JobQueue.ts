import type { ServiceName } from './ServiceName';

/** Policy of a queue in one version of the configuration. */
export interface JobQueue {
  readonly name: string;
  readonly service: ServiceName;
  /** Priority of the queue's jobs; 0 is the highest. */
  readonly priority: number;
  /** Number of failed runs of one task at which its job fails. */
  readonly attempts: number;
  /** Factor on the critical path of estimated work in the latency objective. */
  readonly stretch: number;
  /** Constant part of the latency objective, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Present when steps may only run on endpoints that the advice service has approved. */
  readonly advice?: AdviceTimings;
}

interface AdviceTimings {
  /** Expected duration of one call to the advice service, in milliseconds. */
  readonly decisionMs: number;
  /** Additional duration for each endpoint in the call, in milliseconds. */
  readonly perEndpointMs: number;
  /** Validity of a ticket, in milliseconds. */
  readonly validityMs: number;
}
