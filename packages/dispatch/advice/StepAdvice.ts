import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { AdviceMetrics } from './AdviceMetrics';

type AnsweredRequest = ReturnType<AdviceMetrics['recordResponse']>;

interface Ticket {
  readonly text: string;
  /** Monotonic time until which a start may be chosen with the ticket; earlier than the ticket's expiry by `START_LATENCY_MS`. */
  readonly usableUntil: number;
  /** The request whose response contained the ticket, for the metrics; undefined if these are not kept. */
  readonly request: AnsweredRequest | undefined;
}

/** Assumed time from the choice of an endpoint until the start arrives there; a ticket has to be valid until then. */
const START_LATENCY_MS = 250;
/** Assumed time from the record of a start in the log until it arrives at the endpoint; a part of `START_LATENCY_MS`. */
const SEND_LATENCY_MS = 100;
/** Delay before a request without a response is repeated. */
const REQUEST_RETRY_DELAY_MS = 120;

/** Advice received for one step: tickets, which expire, and refusals, which are final; and the state of its requests. */
export class StepAdvice {
  private readonly tickets = new Map<EndpointIncarnation, Ticket>();
  private readonly refusedEndpoints = new Set<EndpointIncarnation>();
  /** Latest time until which any ticket received so far may be used; -Infinity before the first. */
  private latestUsableUntil = -Infinity;
  private hasPendingRequest = false;
  /** Monotonic time from which a request without a response may be repeated. */
  private retryAt = -Infinity;
  /** Monotonic time until which no request is considered. */
  private deferredUntil = -Infinity;
  /** Monotonic time of the first deferral after the latest request; undefined when there was none. */
  private deferredSince: number | undefined;
  /** Monotonic time since which the step has waited for a slot, without a response in between; undefined while it doesn't wait. */
  private slotWaitSince: number | undefined;
  /** Monotonic time of the latest request. */
  private lastRequestedAt = 0;
  /** Monotonic time of the latest response. */
  private lastRespondedAt = -Infinity;

  /** Returns the ticket for an endpoint; undefined when there is none, or when a start chosen at `now` would arrive after it expires. */
  getTicket(endpoint: EndpointIncarnation, now: number): string | undefined {
    const ticket = this.tickets.get(endpoint);
    return ticket !== undefined && ticket.usableUntil > now ? ticket.text : undefined;
  }

  /** Returns false if no ticket is usable at a monotonic time; true if one may be. Does not look at the single tickets. */
  canHaveTicket(until: number): boolean {
    return this.latestUsableUntil > until;
  }

  /** Returns the endpoints with a ticket that is usable for a start chosen at `now`. */
  listTicketedEndpoints(now: number): readonly EndpointIncarnation[] {
    const ticketed: EndpointIncarnation[] = [];
    for (const [endpoint, { usableUntil }] of this.tickets) {
      if (usableUntil > now) {
        ticketed.push(endpoint);
      }
    }
    return ticketed;
  }

  /** Returns whether the service has refused any endpoint for the step. */
  hasRefusal(): boolean {
    return this.refusedEndpoints.size > 0;
  }

  /** Returns whether the endpoint's ticket is valid until a start that is sent at `now` would arrive; false without a ticket. */
  hasSendableTicket(endpoint: EndpointIncarnation, now: number): boolean {
    const ticket = this.tickets.get(endpoint);
    return ticket !== undefined && ticket.usableUntil + START_LATENCY_MS - SEND_LATENCY_MS > now;
  }

  /** Returns whether the service has refused the endpoint for the step, which is final. */
  isEndpointRefused(endpoint: EndpointIncarnation): boolean {
    return this.refusedEndpoints.has(endpoint);
  }

  /** Returns whether the service has allowed the endpoint, even if the ticket has expired since; false once the endpoint rejected it. */
  hasBeenAllowed(endpoint: EndpointIncarnation): boolean {
    return this.tickets.has(endpoint);
  }

  /** Returns whether a request has been sent that has not ended. */
  isRequestPending(): boolean {
    return this.hasPendingRequest;
  }

  /**
   * Returns whether a request may be sent: none is pending, and the retry delay after one without a response has passed. After a response the next one
   * may follow at once, since endpoints that were named in a response are not asked about again.
   */
  canRequest(now: number): boolean {
    return !this.hasPendingRequest && now >= this.retryAt;
  }

  /** Returns whether any ticket or refusal is known. */
  hasResponse(): boolean {
    return this.tickets.size > 0 || this.refusedEndpoints.size > 0;
  }

  /** Returns whether requests for the step are deferred at `now`, after one would not have been useful. */
  isRequestDeferred(now: number): boolean {
    return now < this.deferredUntil;
  }

  /** Defers requests until a monotonic time, and notes `now` as the start of the deferral unless it continues an earlier one. */
  recordDeferral(now: number, until: number): void {
    this.deferredSince ??= now;
    this.deferredUntil = until;
  }

  /** Returns the time since the first deferral after the latest request, in milliseconds; 0 if there was none. */
  getDeferredMs(now: number): number {
    return this.deferredSince === undefined ? 0 : now - this.deferredSince;
  }

  /** Records that no slot was free for a request at `now`. */
  recordSlotWait(now: number): void {
    this.slotWaitSince ??= now;
  }

  /** Returns the monotonic time since which the step has waited for a slot, without a response in between; undefined if it doesn't wait. */
  getSlotWaitSince(): number | undefined {
    return this.slotWaitSince;
  }

  /** Ends the wait for a slot, since a request would not be useful. */
  clearSlotWait(): void {
    this.slotWaitSince = undefined;
  }

  /** Records that a request is sent, which ends the deferral. */
  recordRequest(now: number): void {
    this.hasPendingRequest = true;
    this.deferredSince = undefined;
    this.lastRequestedAt = now;
  }

  /** Returns the monotonic time of the latest request; 0 before the first. */
  getLastRequestedAt(): number {
    return this.lastRequestedAt;
  }

  /** Returns the monotonic time of the latest response; -Infinity before the first. */
  getLastRespondedAt(): number {
    return this.lastRespondedAt;
  }

  /** Returns the request whose response contained the ticket for an endpoint; undefined when there is no ticket. */
  getTicketRequest(endpoint: EndpointIncarnation): AnsweredRequest | undefined {
    return this.tickets.get(endpoint)?.request;
  }

  /**
   * Ends the pending request. Stores the tickets of its response, valid for `validityMs` from `now`; candidates without one are refused.
   * `tickets` is undefined when there was no response: the request may then be repeated after a delay, and nothing else is changed.
   * A response ends the wait for a slot.
   */
  recordResponse(
    candidates: readonly EndpointIncarnation[],
    tickets: ReadonlyMap<EndpointIncarnation, string> | undefined,
    now: number,
    validityMs: number,
    request?: AnsweredRequest,
  ): void {
    this.hasPendingRequest = false;
    if (tickets === undefined) {
      this.retryAt = now + REQUEST_RETRY_DELAY_MS;
      return;
    }
    this.lastRespondedAt = now;
    this.slotWaitSince = undefined;
    for (const endpoint of candidates) {
      const text = tickets.get(endpoint);
      if (text === undefined) {
        this.refusedEndpoints.add(endpoint);
      } else {
        const usableUntil = now + validityMs - START_LATENCY_MS;
        this.tickets.set(endpoint, { text, usableUntil, request });
        this.latestUsableUntil = Math.max(this.latestUsableUntil, usableUntil);
      }
    }
  }

  /** Removes a ticket that the endpoint rejected, after which a request may ask about the endpoint again. */
  removeTicket(endpoint: EndpointIncarnation): void {
    this.tickets.delete(endpoint);
  }
}
