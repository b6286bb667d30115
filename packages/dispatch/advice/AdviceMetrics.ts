import type { DispatchCounterName } from '../DispatchCounterName';
import type { AdviceRequestReason } from './AdviceRequestReason';

/** A request that has had a response, kept until a start uses one of its tickets or the tickets expire. */
interface AnsweredRequest {
  /** Time from the request to its response, in milliseconds. */
  readonly responseMs: number;
  /** Monotonic time at which the tickets of the response expire. */
  readonly expiresAt: number;
  /** Whether a start has used one of these tickets. */
  isUsed: boolean;
}

const REASON_COUNTERS = {
  first: 'questionsFirst',
  more: 'questionsMore',
  again: 'questionsAgain',
  early: 'questionsEarly',
} as const satisfies Readonly<Record<AdviceRequestReason, DispatchCounterName>>;

/** Counts advice requests by reason and by outcome: without a response, used by a start, or expired unused. */
export class AdviceMetrics {
  /** Requests with a response whose tickets had not expired or been used at the latest tick, in the order of their responses. */
  private unexpiredRequests: AnsweredRequest[] = [];

  constructor(private readonly sendCount: (name: DispatchCounterName, amount: number) => void) {}

  /** Counts a request by its reason. */
  recordRequest(reason: AdviceRequestReason): void {
    this.sendCount(REASON_COUNTERS[reason], 1);
  }

  /** Counts a request that had no response, and the time spent on it, in milliseconds. */
  recordFailure(tookMs: number): void {
    this.sendCount('turnsUnanswered', 1);
    this.sendCount('turnUnansweredMs', Math.round(tookMs));
  }

  /**
   * Records a response whose tickets expire at a monotonic time. Returns the request, to be passed to
   * `recordTicketUse` when a start uses one of these tickets.
   */
  recordResponse(responseMs: number, expiresAt: number): AnsweredRequest {
    const request = { responseMs, expiresAt, isUsed: false };
    this.unexpiredRequests.push(request);
    return request;
  }

  /** Counts a request and its response time as used, the first time that a start uses one of its tickets. */
  recordTicketUse(request: AnsweredRequest): void {
    if (!request.isUsed) {
      request.isUsed = true;
      this.sendCount('turnsUsed', 1);
      this.sendCount('turnUsedMs', Math.round(request.responseMs));
    }
  }

  /** Counts the requests whose tickets have expired unused, with their response times, and forgets these and the used ones. */
  handleTick(now: number): void {
    const expired = this.unexpiredRequests.filter(({ expiresAt, isUsed }) => !isUsed && expiresAt <= now);
    this.unexpiredRequests = this.unexpiredRequests.filter(
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
