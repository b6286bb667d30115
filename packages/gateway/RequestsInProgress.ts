import type { Clock } from '../common/Clock';

interface PendingRequest {
  readonly name: string;
  readonly startedAt: number;
  readonly handleCancelled: () => void;
}

interface CancelledRequest {
  readonly name: string;
  readonly ageMs: number;
}

/** Requests that wait for their results, so that a stop that runs out of time can answer them. */
export class RequestsInProgress {
  private readonly pending = new Set<PendingRequest>();

  constructor(private readonly clock: Pick<Clock, 'getNow'>) {}

  /** Resolves to the result of a request's work, or to `fallback` if it is cancelled first. The work itself goes on. */
  async waitForResult<Value>(name: string, work: Promise<Value>, fallback: Value): Promise<Value> {
    let request: PendingRequest | undefined;
    const cancelled = new Promise<Value>((resolve) => {
      request = { name, startedAt: this.clock.getNow(), handleCancelled: () => resolve(fallback) };
      this.pending.add(request);
    });
    return Promise.race([work, cancelled]).finally(() => this.pending.delete(request!));
  }

  /** Resolves all waits to their fallbacks; returns the requests and their ages. */
  cancelAll(): readonly CancelledRequest[] {
    const now = this.clock.getNow();
    return [...this.pending].map(({ name, startedAt, handleCancelled }) => {
      handleCancelled();
      return { name, ageMs: Math.round(now - startedAt) };
    });
  }
}
