import type { BoxClient } from '../boxes/BoxClient';
import type { BoxClients } from '../boxes/BoxClients';
import type { BoxDirectory } from '../boxes/BoxDirectory';
import type { Clock } from '../common/Clock';
import { startDelay } from '../common/startDelay';
import type { LeaderController } from '../dispatch/LeaderController';
import type { ServeSettings } from './ServeSettings';

interface LeaderHandoverOptions {
  readonly settings: ServeSettings;
  readonly clock: Clock;
  readonly boxes: BoxClients;
  readonly directory: BoxDirectory;
  /** The duty of this process; undefined while it does not lead. */
  readonly getController: () => LeaderController | undefined;
  readonly getEpoch: () => number;
  /** The log has answered another box: calls of this one that still wait are made again. */
  readonly retryPending: () => void;
  /** Reads the log now; false when it does not answer this box at once. */
  readonly waitForLogRead: () => Promise<boolean>;
  /** This process leads no more, and will not again, since it stops. */
  readonly handleResigned: () => void;
  /** This process leads no more. */
  readonly handleLeadershipLost: (epoch: number, detail: string) => void;
}

/** A leader whose writes have failed for so long looks for a box that the log serves. */
const MIN_WRITE_OUTAGE_MS = 300;
/**
 * A log that serves another box may just have come back for all: so long this one's calls, made again at once, may take to show it.
 * Without it some outages for all would end with a change of leader, which starts anew long after the log's return.
 */
const RECOVERY_CHECK_MS = 300;
/** A leader that can read, but whose writes have failed for so long, hands over all the same. */
const MAX_WRITE_OUTAGE_MS = 2000;
/** A leader on a weak box looks for a stronger one after so long, and again after as long. */
const STABLE_LEADER_MS = 2000;
/** Kept of the grace for the end of a planned stop. */
const STOP_RESERVE_MS = 2000;
const CANDIDATE_POLL_MS = 100;

/** Gives leadership up where another box would lead better, and at a planned stop. All orders stop before the word is given. */
export class LeaderHandover {
  private isHandingOver = false;
  private leadingSince = 0;

  constructor(private readonly options: LeaderHandoverOptions) {}

  recordElected(): void {
    this.leadingSince = this.options.clock.readNow();
  }

  /** Looks whether another box would lead better. */
  handleTick(): void {
    const { clock, settings, directory, getController } = this.options;
    const controller = getController();
    if (controller === undefined || this.isHandingOver) {
      return;
    }
    if (controller.getLogOutageMs() > MIN_WRITE_OUTAGE_MS) {
      this.runOnce(() => this.runHandoverInOutage());
      return;
    }
    const isStable = clock.readNow() - this.leadingSince > STABLE_LEADER_MS;
    if (isStable && directory.readStronger(settings).length > 0) {
      this.runOnce(() => this.runHandoverToStronger());
    }
  }

  /**
   * Gives leadership up in a planned stop. While the log is out for every box nobody could take over, so this process goes on
   * leading as long as its grace allows: what runs stays leased.
   */
  async runPlannedHandover(): Promise<void> {
    const { clock, settings, boxes, getController, getEpoch, handleResigned } = this.options;
    this.isHandingOver = true;
    const until = clock.readNow() + settings.graceMs - STOP_RESERVE_MS;
    while ((getController()?.getLogOutageMs() ?? 0) > 0 && clock.readNow() < until) {
      if ((await boxes.startChoosingLogUser()) !== undefined) {
        break;
      }
      await startDelay(CANDIDATE_POLL_MS);
    }
    const controller = getController();
    if (controller === undefined) {
      return;
    }
    const epoch = getEpoch();
    handleResigned();
    await controller.stopGracefully();
    const next = await boxes.startChoosingLogUser();
    await next?.sendHandover(epoch);
  }

  private runOnce(attempt: () => Promise<void>): void {
    this.isHandingOver = true;
    void attempt().finally(() => {
      this.isHandingOver = false;
    });
  }

  /** A leader on a weak box hands over to a stronger one, which can do more of the same work in time. */
  private async runHandoverToStronger(): Promise<void> {
    this.leadingSince = this.options.clock.readNow();
    const next = await this.options.boxes.findStrongerCandidate();
    const controller = this.options.getController();
    if (next !== undefined && controller?.getLogOutageMs() === 0) {
      await this.runHandover(next, controller, 'a stronger box is asked to lead');
    }
  }

  /** A leader that the log does not serve hands over to a box that it does serve. */
  private async runHandoverInOutage(): Promise<void> {
    const { boxes, retryPending, waitForLogRead, getController } = this.options;
    const next = await boxes.startChoosingLogUser();
    if (next === undefined) {
      return;
    }
    retryPending();
    await startDelay(RECOVERY_CHECK_MS);
    const canRead = await waitForLogRead();
    const controller = getController();
    if (controller === undefined || controller.getLogOutageMs() === 0) {
      return;
    }
    if (canRead && controller.getLogOutageMs() < MAX_WRITE_OUTAGE_MS) {
      return;
    }
    await this.runHandover(next, controller, 'the log does not serve this box');
  }

  private async runHandover(next: BoxClient, controller: LeaderController, reason: string): Promise<void> {
    const epoch = this.options.getEpoch();
    controller.stop();
    this.options.handleLeadershipLost(epoch, `${reason}; ${next.address} is asked to lead`);
    await next.sendHandover(epoch);
  }
}
