import type { ServiceName } from './ServiceName';

/** Policy of one queue, as configured when a job was accepted. */
export interface JobQueue {
  readonly name: string;
  readonly service: ServiceName;
  /** 0 goes first. */
  readonly priority: number;
  /** Runs of one task that may fail before its job fails. */
  readonly attempts: number;
  /** Factor on the longest chain of work in the latency objective. */
  readonly stretch: number;
  /** Added to the stretched chain of work in the latency objective. */
  readonly targetLatencyMs: number;
  /** Present when only endpoints named by the advice service may run a step. */
  readonly advice?: AdvicePolicy;
}

interface AdvicePolicy {
  /** Time of one call. */
  readonly decisionMs: number;
  /** Further time for each endpoint named. */
  readonly perEndpointMs: number;
  /** How long a ticket holds. */
  readonly validityMs: number;
}
