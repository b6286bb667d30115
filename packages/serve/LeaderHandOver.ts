import type { BoxClient } from '../boxes/BoxClient';
import type { BoxClients } from '../boxes/BoxClients';
import type { BoxDirectory } from '../boxes/BoxDirectory';
import type { Clock } from '../common/Clock';
import { waitForDelay } from '../common/waitForDelay';
import type { LeaderController } from '../dispatch/LeaderController';
import type { ServeSettings } from './ServeSettings';

interface LeaderHandOverOptions {
  readonly settings: ServeSettings;
  readonly clock: Clock;
  readonly boxes: BoxClients;
  readonly directory: BoxDirectory;
  /** The duty of this process; undefined while it does not lead. */
  readonly readDuty: () => LeaderController | undefined;
  readonly readEpoch: () => number;
  /** The log has answered another box: calls of this one that still wait are made again. */
  readonly startCallsAgain: () => void;
  /** Reads the log now; false when it does not answer this box at once. */
  readonly startLogRead: () => Promise<boolean>;
  /** This process leads no more, and will not again, since it stops. */
  readonly handleLeft: () => void;
  /** This process leads no more. */
  readonly handleDeposed: (epoch: number, detail: string) => void;
}

/** A leader whose writes have failed for so long looks for a box that the log serves. */
const FAILING_MS = 300;
/**
 * A log that serves another box may just have come back for all: so long this one's calls, made again at once, may take to show it.
 * Without it some outages for all would end with a change of leader, which starts anew long after the log's return.
 */
const RETURN_CHECK_MS = 300;
/** A leader that can read, but whose writes have failed for so long, hands over all the same. */
const WRITES_LOST_MS = 2000;
/** A leader on a weak box looks for a stronger one after so long, and again after as long. */
const SETTLED_MS = 2000;
/** Kept of the grace for the end of a planned stop. */
const STOP_RESERVE_MS = 2000;
const LEAVE_POLL_MS = 100;

/** Gives leadership up where another box would lead better, and at a planned stop. All orders stop before the word is given. */
export class LeaderHandOver {
  private isHandingOver = false;
  private leadingSince = 0;

  constructor(private readonly options: LeaderHandOverOptions) {}

  recordElected(): void {
    this.leadingSince = this.options.clock.getNow();
  }

  /** Looks whether another box would lead better. */
  applyTime(): void {
    const { clock, settings, directory, readDuty } = this.options;
    const duty = readDuty();
    if (duty === undefined || this.isHandingOver) {
      return;
    }
    if (duty.getLogOutageMs() > FAILING_MS) {
      this.startOnce(() => this.startLeavingToServed());
      return;
    }
    const isSettled = clock.getNow() - this.leadingSince > SETTLED_MS;
    if (isSettled && directory.readStronger(settings).length > 0) {
      this.startOnce(() => this.startLeavingToStronger());
    }
  }

  /**
   * Gives leadership up in a planned stop. While the log is out for every box nobody could take over, so this process goes on
   * leading as long as its grace allows: what runs stays leased.
   */
  async startLeaving(): Promise<void> {
    const { clock, settings, boxes, readDuty, readEpoch, handleLeft } = this.options;
    this.isHandingOver = true;
    const until = clock.getNow() + settings.graceMs - STOP_RESERVE_MS;
    while ((readDuty()?.getLogOutageMs() ?? 0) > 0 && clock.getNow() < until) {
      if ((await boxes.startChoosingLogUser()) !== undefined) {
        break;
      }
      await waitForDelay(LEAVE_POLL_MS);
    }
    const duty = readDuty();
    if (duty === undefined) {
      return;
    }
    const epoch = readEpoch();
    handleLeft();
    await duty.stopGracefully();
    const next = await boxes.startChoosingLogUser();
    await next?.sendHandOver(epoch);
  }

  private startOnce(attempt: () => Promise<void>): void {
    this.isHandingOver = true;
    void attempt().finally(() => {
      this.isHandingOver = false;
    });
  }

  /** A leader on a weak box hands over to a stronger one, which can do more of the same work in time. */
  private async startLeavingToStronger(): Promise<void> {
    this.leadingSince = this.options.clock.getNow();
    const next = await this.options.boxes.startChoosingStronger();
    const duty = this.options.readDuty();
    if (next !== undefined && duty?.getLogOutageMs() === 0) {
      await this.startLeavingTo(next, duty, 'a stronger box is asked to lead');
    }
  }

  /** A leader that the log does not serve hands over to a box that it does serve. */
  private async startLeavingToServed(): Promise<void> {
    const { boxes, startCallsAgain, startLogRead, readDuty } = this.options;
    const next = await boxes.startChoosingLogUser();
    if (next === undefined) {
      return;
    }
    startCallsAgain();
    await waitForDelay(RETURN_CHECK_MS);
    const canRead = await startLogRead();
    const duty = readDuty();
    if (duty === undefined || duty.getLogOutageMs() === 0) {
      return;
    }
    if (canRead && duty.getLogOutageMs() < WRITES_LOST_MS) {
      return;
    }
    await this.startLeavingTo(next, duty, 'the log does not serve this box');
  }

  private async startLeavingTo(next: BoxClient, duty: LeaderController, reason: string): Promise<void> {
    const epoch = this.options.readEpoch();
    duty.stop();
    this.options.handleDeposed(epoch, `${reason}; ${next.address} is asked to lead`);
    await next.sendHandOver(epoch);
  }
}
