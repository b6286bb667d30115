import type { WorkerReport } from '../ownership/WorkerReport';

/** Result of a fence request, which makes an endpoint reject lower fencing tokens. */
export type FenceResult =
  /** The endpoint rejects lower tokens from now on, and has listed all its running tasks. */
  | { readonly kind: 'fenced'; readonly tasks: WorkerReport['tasks'] }
  /** The endpoint has seen a higher token, so another process owns it. */
  | { readonly kind: 'refused' }
  /** There was no valid response. */
  | { readonly kind: 'unanswered'; readonly reason: string };
