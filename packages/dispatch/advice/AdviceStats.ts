import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';

/** Share of the endpoints named that may run a step, before any answer was seen. */
const FIRST_SHARE = 0.5;
/** Weight of the newest answer in that share. */
const ANSWER_WEIGHT = 0.1;
/** Answers may all be refusals for a while; the share stays usable as a divisor. */
const MIN_SHARE = 0.1;

/** What questions to the advice service have shown over all steps: how many endpoints a queue may use, and which are asked about now. */
export class AdviceStats {
  private readonly shares = new Map<string, number>();
  private readonly underWay = new Map<EndpointIncarnation, number>();

  /** Expected share of the endpoints named that a step of the queue may use. */
  readShare(queue: string): number {
    return this.shares.get(queue) ?? FIRST_SHARE;
  }

  /** Questions under way that name the endpoint: the steps that they are for may take its room. */
  readUnderWay(endpoint: EndpointIncarnation): number {
    return this.underWay.get(endpoint) ?? 0;
  }

  recordQuestion(endpoints: readonly EndpointIncarnation[]): void {
    for (const endpoint of endpoints) {
      this.underWay.set(endpoint, this.readUnderWay(endpoint) + 1);
    }
  }

  /** Records an answer; `allowed` is undefined where there was none. */
  recordResponse(
    queue: string,
    endpoints: readonly EndpointIncarnation[],
    allowed: number | undefined,
  ): void {
    for (const endpoint of endpoints) {
      const left = this.readUnderWay(endpoint) - 1;
      if (left > 0) {
        this.underWay.set(endpoint, left);
      } else {
        this.underWay.delete(endpoint);
      }
    }
    if (allowed !== undefined && endpoints.length > 0) {
      const before = this.readShare(queue);
      const share = before + ANSWER_WEIGHT * (allowed / endpoints.length - before);
      this.shares.set(queue, Math.max(MIN_SHARE, share));
    }
  }
}
