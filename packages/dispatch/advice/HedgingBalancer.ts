import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceChannel } from './AdviceChannel';
import type { AdviceSlots } from './AdviceSlots';
import { ChannelState } from './ChannelState';
import { ChannelTrials } from './ChannelTrials';
import type { AdviceBalancer } from './AdviceBalancer';
import type { AdviceBalancerOptions } from './AdviceBalancerOptions';
import { sendAdviceRequest } from './sendAdviceRequest';
import { ShortRequestReserve } from './ShortRequestReserve';
import { waitForHedgedResponse } from './waitForHedgedResponse';

type AdviceRequest = Extract<DispatchEffect, { kind: 'advise' }>;
type Tickets = ReadonlyMap<EndpointIncarnation, string> | undefined;

/** A request as sent over one channel. */
interface RequestAttempt {
  readonly channelState: ChannelState;
  /** Resolves to the tickets of its response; to undefined when there was none. */
  readonly response: Promise<Tickets>;
}

/** Time by which a response may exceed its expected response time before the attempt fails. */
const RESPONSE_TIMEOUT_MARGIN_MS = 1200;
/** Maximum number of attempts for a request. It is above 2 since the second channel may be in the same unreachable hall. */
const MAX_REQUEST_ATTEMPTS = 3;
/** Lower bound on the hedge delay, as a share of the expected response time. */
const MIN_HEDGE_DELAY_SHARE = 0.5;
/** Minimum time from a failed attempt to the next probe of the service while no channel works. */
const MIN_SERVICE_PROBE_DELAY_MS = 100;

/**
 * Sends short requests over the fastest free channel, and long ones over the fastest that is not reserved for short ones. As many channels
 * are reserved as short requests have recently used. A request whose response is late is hedged: it is sent over another channel too, and
 * the first response is used. A channel with a late or missing response gets only copies of requests, as trials, until it responds.
 */
export class HedgingBalancer implements AdviceBalancer {
  /** State of each channel, by the name of its box. */
  private readonly channelStates = new Map<string, ChannelState>();
  /** Response delays over all channels, which determine the hedge delay of channels without a response so far. */
  private readonly overallState = new ChannelState();
  private readonly shortRequestReserve = new ShortRequestReserve();
  /** Monotonic time at which a channel last failed to get a response from the service. */
  private lastFailedAt = -Infinity;
  private readonly trials = new ChannelTrials();
  private isStopped = false;

  constructor(private readonly options: AdviceBalancerOptions) {}

  getFreeSlots(): AdviceSlots {
    const free = this.listFreeChannels();
    const healthyCount = this.listHealthyChannels().length;
    return {
      all: free.length,
      long: Math.max(0, free.length - this.countReservedChannels()),
      quarantined: this.options.listChannels().length - healthyCount,
    };
  }

  async sendRequest(request: AdviceRequest): Promise<void> {
    const requestedAt = this.options.clock.getNow();
    const first = this.startAttempt(request);
    if (first !== undefined) {
      this.startTrial(request);
    }
    const tickets = first && (await this.waitForResponse(request, first));
    if (this.isStopped) {
      return;
    }
    const now = this.options.clock.getNow();
    if (!request.isLongRequest) {
      this.shortRequestReserve.recordRequest(now - requestedAt, now);
    }
    this.options.handleResponse(request, tickets, Math.round(now - requestedAt));
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Resolves to the first response to at most `MAX_REQUEST_ATTEMPTS` attempts; to undefined when all have failed or the balancer is stopped. */
  private waitForResponse(request: AdviceRequest, first: RequestAttempt): Promise<Tickets> {
    return waitForHedgedResponse<NonNullable<Tickets>, RequestAttempt>({
      first,
      maxAttempts: MAX_REQUEST_ATTEMPTS,
      computeLateMs: (attempt) => request.expectedResponseMs + this.computeHedgeDelayMs(request, attempt),
      handleLate: ({ channelState }) => channelState.trust.recordFailure(this.options.clock.getNow()),
      startNext: () => this.startAttempt(request),
      isStopped: () => this.isStopped,
    });
  }

  /** Returns how far an attempt may exceed its expected response time before it is hedged, in milliseconds; more for long requests. */
  private computeHedgeDelayMs(
    { expectedResponseMs }: AdviceRequest,
    { channelState }: RequestAttempt,
  ): number {
    return Math.max(
      channelState.computeHedgeDelayMs(this.overallState.computeHedgeDelayMs()),
      expectedResponseMs * MIN_HEDGE_DELAY_SHARE,
    );
  }

  /**
   * Sends the request over the fastest free channel; a long one skips the reserved channels, and takes the slowest free one if all are
   * reserved. Returns undefined if no channel is free.
   */
  private startAttempt(request: AdviceRequest): RequestAttempt | undefined {
    const free = this.listFreeChannels();
    const index = request.isLongRequest ? Math.min(this.countReservedChannels(), free.length - 1) : 0;
    const channel = free[index];
    if (channel === undefined) {
      return undefined;
    }
    const channelState = this.getState(channel);
    return { channelState, response: this.sendAttempt(request, channel, channelState) };
  }

  /** Sends a copy of a request over a free channel of a reachable box that is due for a trial, if there is one. */
  private startTrial(request: AdviceRequest): void {
    const now = this.options.clock.getNow();
    const channels = this.listReachableChannels().filter((channel) => {
      const state = this.getState(channel);
      return !state.isBusy() && state.trust.isTrialDue(now);
    });
    this.trials.startTrial(channels, (channel) => this.sendAttempt(request, channel, this.getState(channel)));
  }

  /**
   * Sends the request over a channel and records the outcome in the channel's state. The first response after an outage of the service restores
   * the trust in all channels. Resolves to the tickets; to undefined without a response.
   */
  private async sendAttempt(
    request: AdviceRequest,
    channel: AdviceChannel,
    channelState: ChannelState,
  ): Promise<Tickets> {
    const { clock } = this.options;
    const requestedAt = clock.getNow();
    channelState.recordRequest(request.isLongRequest);
    const tickets = await sendAdviceRequest(
      channel,
      request,
      request.expectedResponseMs + RESPONSE_TIMEOUT_MARGIN_MS,
    );
    const now = clock.getNow();
    if (tickets === undefined) {
      channelState.recordFailure(now);
      this.lastFailedAt = now;
    } else {
      // If no channel worked, the service had failed and not the channels.
      if (this.listHealthyChannels().length === 0) {
        this.channelStates.forEach((other) => other.trust.recordResponse());
      }
      const delayMs = Math.max(0, now - requestedAt - request.expectedResponseMs);
      channelState.recordResponse(delayMs, now);
      this.overallState.recordResponse(delayMs, now);
    }
    return tickets;
  }

  /**
   * Returns the channels that work and are not busy, the fastest first. While none works, the service itself is assumed to fail: if none is busy
   * and a probe is due, only the fastest is returned, to probe the service.
   */
  private listFreeChannels(): readonly AdviceChannel[] {
    const now = this.options.clock.getNow();
    const channels = this.listReachableChannels();
    const free = channels
      .filter((channel) => !this.getState(channel).isBusy())
      .sort(
        (left, right) => this.getState(left).estimateDelayMs(now) - this.getState(right).estimateDelayMs(now),
      );
    const healthy = free.filter((channel) => this.getState(channel).trust.isTrusted());
    const isServiceFailing = free.length === channels.length && healthy.length === 0;
    const isProbeDue = isServiceFailing && now - this.lastFailedAt >= MIN_SERVICE_PROBE_DELAY_MS;
    return isProbeDue ? free.slice(0, 1) : healthy;
  }

  /** Returns how many free channels to reserve for short requests, beside those that have a pending short request. */
  private countReservedChannels(): number {
    const now = this.options.clock.getNow();
    const healthy = this.listHealthyChannels();
    const usedCount = healthy.filter((channel) => this.getState(channel).hasShortRequest()).length;
    return Math.max(0, this.shortRequestReserve.computeReservedCount(healthy.length, now) - usedCount);
  }

  /** Returns the channels that work, busy or not. */
  private listHealthyChannels(): readonly AdviceChannel[] {
    return this.listReachableChannels().filter((channel) => this.getState(channel).trust.isTrusted());
  }

  private listReachableChannels(): readonly AdviceChannel[] {
    return this.options.listChannels().filter((channel) => channel.isReachable());
  }

  /** Returns the state of a channel, created when it is first used. */
  private getState({ box }: AdviceChannel): ChannelState {
    const state = this.channelStates.get(box) ?? new ChannelState();
    this.channelStates.set(box, state);
    return state;
  }
}
