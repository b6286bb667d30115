import type { DispatchCounterName } from '../DispatchCounterName';
import type { AdviceRequestReason } from './AdviceRequestReason';

/** A request with a response, until a start uses one of its tickets or they expire. */
interface AnsweredRequest {
  readonly responseMs: number;
  /** Monotonic time at which its tickets expire. */
  readonly expiresAt: number;
  isUsed: boolean;
}

const REASON_COUNTERS = {
  first: 'questionsFirst',
  more: 'questionsMore',
  again: 'questionsAgain',
  early: 'questionsEarly',
} as const satisfies Readonly<Record<AdviceRequestReason, DispatchCounterName>>;

/** Counts advice requests by reason, and whether a start used their responses. */
export class AdviceMetrics {
  /** Answered requests that are not counted yet, in the order of their responses. Bounded by the validity of tickets. */
  private uncountedRequests: AnsweredRequest[] = [];

  constructor(private readonly sendCount: (name: DispatchCounterName, amount: number) => void) {}

  recordRequest(reason: AdviceRequestReason): void {
    this.sendCount(REASON_COUNTERS[reason], 1);
  }

  /** Counts a request without a response. */
  recordFailure(tookMs: number): void {
    this.sendCount('turnsUnanswered', 1);
    this.sendCount('turnUnansweredMs', Math.round(tookMs));
  }

  /** Records a response. Its tickets keep the returned value for `recordTicketUse`. */
  recordResponse(responseMs: number, expiresAt: number): AnsweredRequest {
    const request = { responseMs, expiresAt, isUsed: false };
    this.uncountedRequests.push(request);
    return request;
  }

  /** Counts a request as used, once a start uses one of its tickets. */
  recordTicketUse(request: AnsweredRequest): void {
    if (!request.isUsed) {
      request.isUsed = true;
      this.sendCount('turnsUsed', 1);
      this.sendCount('turnUsedMs', Math.round(request.responseMs));
    }
  }

  /** Counts requests whose tickets have expired unused. */
  handleTick(now: number): void {
    const expired = this.uncountedRequests.filter(({ expiresAt, isUsed }) => !isUsed && expiresAt <= now);
    this.uncountedRequests = this.uncountedRequests.filter(
      ({ expiresAt, isUsed }) => !isUsed && expiresAt > now,
    );
    if (expired.length > 0) {
      this.sendCount('turnsWasted', expired.length);
      this.sendCount(
        'turnWastedMs',
        Math.round(expired.reduce((sum, { responseMs }) => sum + responseMs, 0)),
      );
    }
  }
}
