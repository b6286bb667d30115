import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceBalancer } from './AdviceBalancer';
import type { AdviceBalancerOptions } from './AdviceBalancerOptions';
import type { AdviceChannel } from './AdviceChannel';
import type { AdviceSlots } from './AdviceSlots';
import { ChannelTrials } from './ChannelTrials';
import { ChannelTrust } from './ChannelTrust';
import { sendAdviceRequest } from './sendAdviceRequest';
import { waitForHedgedResponse } from './waitForHedgedResponse';

type AdviceRequest = Extract<DispatchEffect, { kind: 'advise' }>;
type Tickets = ReadonlyMap<EndpointIncarnation, string> | undefined;

interface FirstFreeChannelState {
  readonly trust: ChannelTrust;
  /** Whether a request is pending. */
  isBusy: boolean;
  /** Monotonic time of the newest response; -Infinity without one. */
  respondedAt: number;
}

/** A request as sent over one channel. */
interface RequestAttempt {
  readonly channel: AdviceChannel;
  /** Resolves to the tickets of its response; to undefined when there was none. */
  readonly response: Promise<Tickets>;
}

/** Time by which a response may exceed its expected response time before the request fails. */
const RESPONSE_TIMEOUT_MARGIN_MS = 1200;
/** Time by which a response may exceed its expected response time before the request is also sent over another channel. */
const LATE_MARGIN_MS = 400;
/** Maximum number of attempts for a request. */
const MAX_REQUEST_ATTEMPTS = 3;

/**
 * Sends short requests over the leader's own box if it is free, and reserves it for them while another channel works; else requests go over the free
 * channel that has responded last, which is the least likely to be lost. Only channels that work carry requests; the others get copies of them, as
 * trials. While none works, the service itself may fail: those that are due for a trial carry the requests.
 */
export class FirstFreeBalancer implements AdviceBalancer {
  /** State of each channel, by the name of its box. */
  private readonly channelStates = new Map<string, FirstFreeChannelState>();
  private readonly trials = new ChannelTrials();
  private isStopped = false;

  constructor(private readonly options: AdviceBalancerOptions) {}

  getFreeSlots(): AdviceSlots {
    const usable = this.listUsableChannels();
    const free = this.listFreeChannels();
    const hasOthers = usable.some(({ isOwnBox }) => !isOwnBox);
    return {
      all: free.length,
      long: hasOthers ? free.filter(({ isOwnBox }) => !isOwnBox).length : free.length,
      quarantined: this.options.listChannels().length - this.listWorkingChannels().length,
    };
  }

  async sendRequest(request: AdviceRequest): Promise<void> {
    const { clock, handleResponse } = this.options;
    const requestedAt = clock.getNow();
    const first = this.startAttempt(request);
    if (first !== undefined) {
      this.startTrial(request);
    }
    const tickets = first && (await this.waitForResponse(request, first, requestedAt));
    if (!this.isStopped) {
      handleResponse(request, tickets, Math.round(clock.getNow() - requestedAt));
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  private waitForResponse(
    request: AdviceRequest,
    first: RequestAttempt,
    requestedAt: number,
  ): Promise<Tickets> {
    return waitForHedgedResponse<NonNullable<Tickets>, RequestAttempt>({
      first,
      maxAttempts: MAX_REQUEST_ATTEMPTS,
      computeLateMs: () => request.expectedResponseMs + LATE_MARGIN_MS,
      handleLate: ({ channel }) => this.getState(channel).trust.recordFailure(this.options.clock.getNow()),
      startNext: () => this.startRepetition(request, requestedAt),
      isStopped: () => this.isStopped,
    });
  }

  /** Sends the request over a free channel; undefined when none is free. */
  private startAttempt(request: AdviceRequest): RequestAttempt | undefined {
    return this.startAttemptOver(this.listFreeByPreference(request)[0], request);
  }

  /**
   * Sends a request whose response is late over another free channel: one that has responded since the request was first sent, or the own one. Any other
   * may be lost as well. Returns undefined while none of these is free, unless the own channel does not work.
   */
  private startRepetition(request: AdviceRequest, requestedAt: number): RequestAttempt | undefined {
    const free = this.listFreeByPreference(request);
    const channel =
      free.find((other) => !other.isOwnBox && this.getState(other).respondedAt >= requestedAt) ??
      free.find(({ isOwnBox }) => isOwnBox) ??
      (this.listUsableChannels().some(({ isOwnBox }) => isOwnBox) ? undefined : free[0]);
    return this.startAttemptOver(channel, request);
  }

  private startAttemptOver(
    channel: AdviceChannel | undefined,
    request: AdviceRequest,
  ): RequestAttempt | undefined {
    return channel && { channel, response: this.sendAttempt(request, channel) };
  }

  /** Returns the free channels: the own one first for a short request and last for a long one, the others by their newest responses. */
  private listFreeByPreference({ isLongRequest }: AdviceRequest): readonly AdviceChannel[] {
    const ownOrder = isLongRequest ? 1 : -1;
    return this.listFreeChannels().sort(
      (left, right) =>
        ownOrder * (Number(left.isOwnBox) - Number(right.isOwnBox)) ||
        this.getState(right).respondedAt - this.getState(left).respondedAt ||
        0,
    );
  }

  /** Sends a copy of a request over a free channel that is due for a trial, if there is one. */
  private startTrial(request: AdviceRequest): void {
    const channels = this.listTrialChannels().filter((channel) => !this.getState(channel).isBusy);
    this.trials.startTrial(channels, (channel) => this.sendAttempt(request, channel));
  }

  /** Sends the request over a channel and records the outcome. Resolves to the tickets; to undefined without a response. */
  private async sendAttempt(request: AdviceRequest, channel: AdviceChannel): Promise<Tickets> {
    const state = this.getState(channel);
    state.isBusy = true;
    const timeoutMs = request.expectedResponseMs + RESPONSE_TIMEOUT_MARGIN_MS;
    const tickets = await sendAdviceRequest(channel, request, timeoutMs);
    state.isBusy = false;
    if (tickets === undefined) {
      state.trust.recordFailure(this.options.clock.getNow());
      return undefined;
    }
    if (this.listWorkingChannels().length === 0) {
      // The service had failed, and not the channels.
      this.channelStates.forEach(({ trust }) => trust.clearTrialDelay());
    }
    state.trust.recordResponse();
    state.respondedAt = this.options.clock.getNow();
    return tickets;
  }

  /** Returns the channels that may carry requests, busy or not: those that work, or while none does, those that are due for a trial. */
  private listUsableChannels(): readonly AdviceChannel[] {
    const working = this.listWorkingChannels();
    return working.length > 0 ? working : this.listTrialChannels();
  }

  private listFreeChannels(): AdviceChannel[] {
    return this.listUsableChannels().filter((channel) => !this.getState(channel).isBusy);
  }

  /** Returns the channels that may carry a step's only request, busy or not. */
  private listWorkingChannels(): readonly AdviceChannel[] {
    return this.options
      .listChannels()
      .filter((channel) => channel.isReachable() && this.getState(channel).trust.isTrusted());
  }

  /** Returns the channels of reachable boxes that are due for a trial, busy or not. */
  private listTrialChannels(): readonly AdviceChannel[] {
    const now = this.options.clock.getNow();
    return this.options
      .listChannels()
      .filter((channel) => channel.isReachable() && this.getState(channel).trust.isTrialDue(now));
  }

  /** Returns the state of a channel, created when it is first used. */
  private getState({ box }: AdviceChannel): FirstFreeChannelState {
    const state = this.channelStates.get(box) ?? {
      trust: new ChannelTrust(),
      isBusy: false,
      respondedAt: -Infinity,
    };
    this.channelStates.set(box, state);
    return state;
  }
}
