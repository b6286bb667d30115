import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { AdviceMetrics } from './AdviceMetrics';

type AnsweredQuestion = ReturnType<AdviceMetrics['recordResponse']>;

interface Ticket {
  readonly text: string;
  /** Monotonic time after which it is not used any more. */
  readonly usableUntil: number;
  /** The question that gave it. */
  readonly source: AnsweredQuestion | undefined;
}

/** Time that a start takes from its choice to the endpoint, taken off a ticket's life. */
const USE_MARGIN_MS = 250;
/** The part of it that a start takes once it is recorded. */
const SEND_MARGIN_MS = 100;
/** A question without an answer is asked again after so long: the service, or the way to it, is not well. */
const RETRY_MS = 120;

/** What the advice service has said of one step: tickets, which run out, and refusals, which stand. */
export class StepAdvice {
  private readonly tickets = new Map<EndpointIncarnation, Ticket>();
  private readonly refused = new Set<EndpointIncarnation>();
  private isAsking = false;
  /** Monotonic time from which the next question may be asked. */
  private askableFrom = -Infinity;
  /** Monotonic time before which it is not worked out again whether a question is worth its turn. */
  private idleUntil = -Infinity;
  /** Monotonic time since which no question was worth its turn; undefined when the last one was. */
  private idleSince: number | undefined;
  /** Monotonic time of the newest question. */
  private askedAt = 0;
  /** Monotonic time of the newest answer. */
  private answeredAt = -Infinity;

  /** The ticket for an endpoint, or undefined when there is none that holds long enough. */
  getTicket(endpoint: EndpointIncarnation, now: number): string | undefined {
    const ticket = this.tickets.get(endpoint);
    return ticket !== undefined && ticket.usableUntil > now ? ticket.text : undefined;
  }

  /** True when a ticket would still hold at the endpoint for a start that is sent now. */
  hasSendableTicket(endpoint: EndpointIncarnation, now: number): boolean {
    const ticket = this.tickets.get(endpoint);
    return ticket !== undefined && ticket.usableUntil + USE_MARGIN_MS - SEND_MARGIN_MS > now;
  }

  isRefused(endpoint: EndpointIncarnation): boolean {
    return this.refused.has(endpoint);
  }

  /** True when the endpoint was allowed before, whether or not its ticket still holds. */
  hasBeenAllowed(endpoint: EndpointIncarnation): boolean {
    return this.tickets.has(endpoint);
  }

  /** True while a question is under way. */
  isBusy(): boolean {
    return this.isAsking;
  }

  /**
   * True when a question may be asked. After an answer at once: what has been answered is not asked again, so that there is an
   * end to it, and each wait of 0.1 s is a tenth of an urgent job's time.
   */
  isAskable(now: number): boolean {
    return !this.isAsking && now >= this.askableFrom;
  }

  /** True once the service has said something of the step. */
  isAnswered(): boolean {
    return this.tickets.size > 0 || this.refused.size > 0;
  }

  /** True for a while after no question was worth its turn. */
  isIdle(now: number): boolean {
    return now < this.idleUntil;
  }

  recordIdle(now: number, until: number): void {
    this.idleSince ??= now;
    this.idleUntil = until;
  }

  /** For how long no question has been worth its turn, in milliseconds. */
  readIdleMs(now: number): number {
    return this.idleSince === undefined ? 0 : now - this.idleSince;
  }

  recordQuestion(now: number): void {
    this.isAsking = true;
    this.idleSince = undefined;
    this.askedAt = now;
  }

  /** Monotonic time of the newest question. */
  getRequestedAt(): number {
    return this.askedAt;
  }

  /** Monotonic time of the newest answer; -Infinity before the first. */
  readAnsweredAt(): number {
    return this.answeredAt;
  }

  /** The question that gave the ticket for an endpoint. */
  readSource(endpoint: EndpointIncarnation): AnsweredQuestion | undefined {
    return this.tickets.get(endpoint)?.source;
  }

  recordResponse(
    asked: readonly EndpointIncarnation[],
    good: ReadonlyMap<EndpointIncarnation, string> | undefined,
    now: number,
    validityMs: number,
    source?: AnsweredQuestion,
  ): void {
    this.isAsking = false;
    if (good === undefined) {
      this.askableFrom = now + RETRY_MS;
      return;
    }
    this.answeredAt = now;
    for (const endpoint of asked) {
      const text = good.get(endpoint);
      if (text === undefined) {
        this.refused.add(endpoint);
      } else {
        this.tickets.set(endpoint, { text, usableUntil: now + validityMs - USE_MARGIN_MS, source });
      }
    }
  }

  /** Drops a ticket that an endpoint did not take. */
  removeTicket(endpoint: EndpointIncarnation): void {
    this.tickets.delete(endpoint);
  }
}
