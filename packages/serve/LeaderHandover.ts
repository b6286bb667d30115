import type { BoxClient } from '../boxes/BoxClient';
import type { BoxClients } from '../boxes/BoxClients';
import type { BoxDirectory } from '../boxes/BoxDirectory';
import type { Clock } from '../common/Clock';
import { waitForDelay } from '../common/waitForDelay';
import { waitWithTimeout } from '../common/waitWithTimeout';
import type { LeaderController } from '../dispatch/LeaderController';
import type { ServeSettings } from './ServeSettings';

interface LeaderHandoverOptions {
  readonly settings: ServeSettings;
  readonly clock: Clock;
  readonly boxes: BoxClients;
  readonly directory: BoxDirectory;
  /** Returns the leader controller of this process; undefined while it does not lead. */
  readonly getController: () => LeaderController | undefined;
  /** Returns the epoch of the current leader; 0 while none is known. */
  readonly getEpoch: () => number;
  /** Returns the monotonic time at which this process started. */
  readonly getStartedAt: () => number;
  /** Retries the pending log requests of this box. */
  readonly retryPending: () => void;
  /** Reads the log now; false when the read fails or takes longer than a number of milliseconds. */
  readonly waitForLogRead: (timeoutMs: number) => Promise<boolean>;
  /** Sets the address of the box that is asked to lead next, before this process resigns; undefined when none was found. */
  readonly setSuccessor: (address: string | undefined) => void;
  /** Handles that this process stops leading at a planned stop. */
  readonly handleGracefulStop: () => void;
  /** Handles that this process stops leading but keeps running. */
  readonly handleLeadershipLost: (epoch: number, detail: string) => void;
}

/** Duration of failing writes beyond which the leader searches for a box that can use the log. */
const CANDIDATE_SEARCH_OUTAGE_MS = 300;
/**
 * Time for retried requests to succeed once another box can use the log. Avoids a change of leader when the log has just recovered for
 * all boxes.
 */
const RECOVERY_WAIT_MS = 300;
/**
 * Time limit of the read that tells a log that this box cannot reach from one that only its writes fail on. Responses to a leader that is short of
 * processor time wait this long to be read.
 */
const LOG_READ_TIMEOUT_MS = 500;
/** Duration of failing writes from which the leader hands over although its reads succeed. */
const HANDOVER_WRITE_OUTAGE_MS = 2000;
/** Time between two searches for a stronger box, and between the election and the first one. */
const STRONGER_SEARCH_INTERVAL_MS = 2000;
/** Part of the time for a planned handover that is reserved for what follows the wait for the log. */
const HANDOVER_RESERVE_MS = 1000;
/** Time between searches for a box that can use the log, during a planned stop. */
const CANDIDATE_POLL_INTERVAL_MS = 100;

/** Hands leadership over to a better suited box, and at a planned stop. The controller stops before the other box is asked to lead. */
export class LeaderHandover {
  private isHandingOver = false;
  /** Monotonic time of the last search for a stronger box, or of the election if later. */
  private lastStrongerSearchAt = 0;

  constructor(private readonly options: LeaderHandoverOptions) {}

  /** Records that this process was elected now. */
  recordElected(): void {
    this.lastStrongerSearchAt = this.options.clock.getNow();
  }

  /** Starts a handover attempt if writes to the log keep failing or, at intervals, if a stronger box exists. Called periodically. */
  handleTick(): void {
    const { clock, settings, directory, getController } = this.options;
    const controller = getController();
    if (controller === undefined || this.isHandingOver) {
      return;
    }
    if (controller.getLogOutageMs() > CANDIDATE_SEARCH_OUTAGE_MS) {
      this.runExclusively(() => this.runHandoverInOutage());
      return;
    }
    const isStable = clock.getNow() - this.lastStrongerSearchAt > STRONGER_SEARCH_INTERVAL_MS;
    if (isStable && directory.listStronger(settings).length > 0) {
      this.runExclusively(() => this.runHandoverToStronger());
    }
  }

  /**
   * Hands leadership over at a planned stop, if this process leads. While writes to the log fail and no other box can use it, this process
   * first keeps leading and renewing leases for as long as the timeout allows.
   */
  async runPlannedHandover(timeoutMs: number): Promise<void> {
    const { clock, getController, getEpoch, handleGracefulStop } = this.options;
    this.isHandingOver = true;
    const deadline = clock.getNow() + timeoutMs;
    await this.waitForLogOrCandidate(deadline - HANDOVER_RESERVE_MS);
    const next = await this.findCandidateUntil(deadline - HANDOVER_RESERVE_MS);
    const controller = getController();
    if (controller === undefined) {
      return;
    }
    const epoch = getEpoch();
    this.options.setSuccessor(next?.address);
    handleGracefulStop();
    await controller.stopGracefully();
    await (next ?? (await this.findCandidateUntil(deadline)))?.sendHandover(epoch);
  }

  /** Resolves once this leader's writes to the log succeed, it stops leading, or another box can use the log; at the latest at `until`. */
  private async waitForLogOrCandidate(until: number): Promise<void> {
    const { clock, getController } = this.options;
    while ((getController()?.getLogOutageMs() ?? 0) > 0 && clock.getNow() < until) {
      if ((await this.findCandidateUntil(until)) !== undefined) {
        return;
      }
      await waitForDelay(CANDIDATE_POLL_INTERVAL_MS);
    }
  }

  /** Returns a box that can lead next; undefined when none is found by a monotonic time. */
  private findCandidateUntil(until: number): Promise<BoxClient | undefined> {
    const timeoutMs = Math.max(0, until - this.options.clock.getNow());
    const { boxes, getStartedAt } = this.options;
    return waitWithTimeout(boxes.findSuccessor(getStartedAt()), timeoutMs, undefined);
  }

  /** Runs a handover attempt; no other starts before it ends. */
  private runExclusively(attempt: () => Promise<void>): void {
    this.isHandingOver = true;
    void attempt().finally(() => {
      this.isHandingOver = false;
    });
  }

  /** Hands over to a stronger box that can use the log, if there is one and the writes of this box succeed. */
  private async runHandoverToStronger(): Promise<void> {
    this.lastStrongerSearchAt = this.options.clock.getNow();
    const next = await this.options.boxes.findStrongerCandidate();
    const controller = this.options.getController();
    if (next !== undefined && controller?.getLogOutageMs() === 0) {
      await this.runHandover(next, controller, 'a stronger box exists');
    }
  }

  /**
   * Hands over to a box that can use the log, unless writes succeed again, or reads succeed and writes have failed for less than
   * `HANDOVER_WRITE_OUTAGE_MS`.
   */
  private async runHandoverInOutage(): Promise<void> {
    const { boxes, retryPending, waitForLogRead, getController } = this.options;
    const next = await boxes.findLeaderCandidate();
    if (next === undefined) {
      return;
    }
    retryPending();
    await waitForDelay(RECOVERY_WAIT_MS);
    const canRead = await waitForLogRead(LOG_READ_TIMEOUT_MS);
    const controller = getController();
    if (controller === undefined || controller.getLogOutageMs() === 0) {
      return;
    }
    if (canRead && controller.getLogOutageMs() < HANDOVER_WRITE_OUTAGE_MS) {
      return;
    }
    await this.runHandover(next, controller, 'the log is unavailable to this box');
  }

  private async runHandover(next: BoxClient, controller: LeaderController, reason: string): Promise<void> {
    const epoch = this.options.getEpoch();
    controller.stop();
    this.options.handleLeadershipLost(epoch, `${reason}; ${next.address} is asked to lead`);
    await next.sendHandover(epoch);
  }
}
