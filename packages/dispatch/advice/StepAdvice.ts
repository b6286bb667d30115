import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { AdviceMetrics } from './AdviceMetrics';

type AnsweredRequest = ReturnType<AdviceMetrics['recordResponse']>;

interface Ticket {
  readonly text: string;
  /** Monotonic time after which no start is chosen with it. */
  readonly usableUntil: number;
  /** The request whose response contained it. */
  readonly request: AnsweredRequest | undefined;
}

/** Time from the choice of an endpoint until the start arrives there; a ticket has to be valid until then. */
const START_LATENCY_MS = 250;
/** Part of `START_LATENCY_MS` that is left once the start has been recorded. */
const SEND_LATENCY_MS = 100;
/** Delay before a request without a response is repeated. */
const RETRY_DELAY_MS = 120;

/** Advice received for one step: tickets, which expire, and refusals, which are final. */
export class StepAdvice {
  private readonly tickets = new Map<EndpointIncarnation, Ticket>();
  private readonly refusedEndpoints = new Set<EndpointIncarnation>();
  private hasPendingRequest = false;
  /** Monotonic time from which the next request may be sent. */
  private nextRequestAt = -Infinity;
  /** Monotonic time until which no request is considered. */
  private deferredUntil = -Infinity;
  /** Monotonic time since which requests have been deferred; undefined when the latest one was sent. */
  private deferredSince: number | undefined;
  /** Monotonic time of the latest request. */
  private lastRequestedAt = 0;
  /** Monotonic time of the latest response. */
  private lastRespondedAt = -Infinity;

  /** Returns the ticket for an endpoint; undefined when there is none, or when it expires before a start could arrive. */
  getTicket(endpoint: EndpointIncarnation, now: number): string | undefined {
    const ticket = this.tickets.get(endpoint);
    return ticket !== undefined && ticket.usableUntil > now ? ticket.text : undefined;
  }

  /** Returns whether a recorded start that is sent now would arrive before its ticket expires. */
  hasSendableTicket(endpoint: EndpointIncarnation, now: number): boolean {
    const ticket = this.tickets.get(endpoint);
    return ticket !== undefined && ticket.usableUntil + START_LATENCY_MS - SEND_LATENCY_MS > now;
  }

  isRefused(endpoint: EndpointIncarnation): boolean {
    return this.refusedEndpoints.has(endpoint);
  }

  /** Returns whether the service has allowed the endpoint, even if the ticket has expired since. */
  hasBeenAllowed(endpoint: EndpointIncarnation): boolean {
    return this.tickets.has(endpoint);
  }

  isRequestPending(): boolean {
    return this.hasPendingRequest;
  }

  /**
   * Returns whether a request may be sent. There is no delay after a response: no endpoint is asked about again while its ticket or
   * refusal stands, so the number of requests is bounded.
   */
  canRequest(now: number): boolean {
    return !this.hasPendingRequest && now >= this.nextRequestAt;
  }

  /** Returns whether any ticket or refusal is known. */
  hasResponse(): boolean {
    return this.tickets.size > 0 || this.refusedEndpoints.size > 0;
  }

  /** Returns whether requests are deferred since a recent one would not have been useful. */
  isDeferred(now: number): boolean {
    return now < this.deferredUntil;
  }

  /** Defers requests until a monotonic time. */
  recordDeferral(now: number, until: number): void {
    this.deferredSince ??= now;
    this.deferredUntil = until;
  }

  /** Returns for how long requests have been deferred without interruption, in milliseconds. */
  getDeferredMs(now: number): number {
    return this.deferredSince === undefined ? 0 : now - this.deferredSince;
  }

  recordRequest(now: number): void {
    this.hasPendingRequest = true;
    this.deferredSince = undefined;
    this.lastRequestedAt = now;
  }

  /** Returns the monotonic time of the latest request. */
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
   * Stores the tickets of a response; candidates without one are refused. `tickets` is undefined when there was no response, after which
   * the request may be repeated.
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
      this.nextRequestAt = now + RETRY_DELAY_MS;
      return;
    }
    this.lastRespondedAt = now;
    for (const endpoint of candidates) {
      const text = tickets.get(endpoint);
      if (text === undefined) {
        this.refusedEndpoints.add(endpoint);
      } else {
        this.tickets.set(endpoint, { text, usableUntil: now + validityMs - START_LATENCY_MS, request });
      }
    }
  }

  /** Removes a ticket that an endpoint rejected. */
  removeTicket(endpoint: EndpointIncarnation): void {
    this.tickets.delete(endpoint);
  }
}
