import type { AnnouncementResponse } from '../boxes/AnnouncementResponse';
import type { BoxClient } from '../boxes/BoxClient';
import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import type { LeaderAnnouncement } from '../leadership/LeaderAnnouncement';
import { leaderTimings } from '../leadership/leaderTimings';
import type { WitnessReport } from '../leadership/WitnessReport';

interface AnnouncedBox {
  readonly box: string;
  readonly client: BoxClient;
  /** Monotonic time at which its newest announcement was read, in milliseconds. */
  readonly announcedAt: number;
}

interface LeaderAnnouncerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly listOthers: () => readonly AnnouncedBox[];
  /** Creates the announcement of this box as leader; undefined while it does not lead. */
  readonly createLeaderAnnouncement: () => LeaderAnnouncement | undefined;
  /** Returns whether the response of the box may say when leases of an earlier leader have expired. */
  readonly isResponseAwaited: (box: string) => boolean;
  /** Handles the process of another box that has confirmed the announcement of an epoch. */
  readonly handleBoxProcess: (report: WitnessReport, announcedEpoch: number) => void;
}

/** Delivery of the announcement of one epoch to one box. */
interface AnnouncementDelivery {
  readonly epoch: number;
  /**
   * `announcedAt` of the box when the delivery was created. A different value means that the box has restarted and needs a new delivery.
   */
  readonly announcedAt: number;
  /** Whether an earlier leader ran in the box, which may act until it is told, or named it as a witness. Such a box is told first. */
  readonly isResponseAwaited: boolean;
  attemptCount: number;
  /** Monotonic time of the next attempt; Infinity while one is in flight, and once it has succeeded or none is left. */
  nextAttemptAt: number;
}

/** Bounds the connections that a leader of many boxes opens at the same time. */
const MAX_CONCURRENT_REQUESTS = 16;
const FIRST_RETRY_DELAY_MS = 500;
const MAX_RETRY_DELAY_MS = 8000;
/** A box gets the leader announcement at once if its own announcement was read less than this before this box began to lead, or later. */
const NEW_BOX_AGE_MS = 3000;
/**
 * Time after which a leader is announced to boxes that should know it from the log. Avoids a burst of requests for each of several
 * short-lived leaders.
 */
const STABLE_LEADER_AGE_MS = 3500;
/** Attempts for each box and epoch, which take about 50 s, until the box announces itself again. */
const MAX_DELIVERY_ATTEMPTS = 10;

/**
 * Announces the leader and its address to all other boxes while this box leads.
 *
 * Boxes normally learn of the leader from the log. Without these announcements, a box that loses access to the log right after its start
 * could not forward jobs to the leader.
 */
export class LeaderAnnouncer {
  private readonly deliveries = new Map<string, AnnouncementDelivery>();
  private inFlightCount = 0;
  private ledEpoch = 0;
  /** Monotonic time from which this box has led that epoch. */
  private ledSince = -Infinity;

  constructor(private readonly options: LeaderAnnouncerOptions) {}

  /** Sends the announcements that are due, within the limit of concurrent requests, while this box leads. Called periodically. */
  handleTick(): void {
    const announcement = this.options.createLeaderAnnouncement();
    if (announcement === undefined) {
      return;
    }
    const now = this.options.clock.getNow();
    if (announcement.record.epoch !== this.ledEpoch) {
      this.ledEpoch = announcement.record.epoch;
      this.ledSince = now;
    }
    const due = this.options
      .listOthers()
      .map((other) => ({ other, delivery: this.getDelivery(other) }))
      .filter(({ delivery }) => now >= delivery.nextAttemptAt)
      .sort(
        (left, right) => Number(right.delivery.isResponseAwaited) - Number(left.delivery.isResponseAwaited),
      );
    for (const { other, delivery } of due.slice(0, MAX_CONCURRENT_REQUESTS - this.inFlightCount)) {
      void this.sendAnnouncement(other, delivery, announcement);
    }
  }

  private getDelivery({ box, announcedAt }: AnnouncedBox): AnnouncementDelivery {
    const known = this.deliveries.get(box);
    if (known?.epoch === this.ledEpoch && known.announcedAt === announcedAt) {
      return known;
    }
    // An earlier leader that cannot read the log acts until it learns of this one, and its witnesses vouch for it.
    const isResponseAwaited = this.options.isResponseAwaited(box);
    const isUrgent = announcedAt + NEW_BOX_AGE_MS > this.ledSince || isResponseAwaited;
    const nextAttemptAt = isUrgent ? -Infinity : this.ledSince + STABLE_LEADER_AGE_MS;
    const delivery: AnnouncementDelivery = {
      epoch: this.ledEpoch,
      announcedAt,
      isResponseAwaited,
      attemptCount: 0,
      nextAttemptAt,
    };
    this.deliveries.set(box, delivery);
    return delivery;
  }

  /** Ignores the response of another box at the address, or of an earlier version. */
  private handleResponse(
    { box, client }: AnnouncedBox,
    { box: respondingBox, process, upMs, vouchedMs }: AnnouncementResponse,
    announcedEpoch: number,
  ): void {
    if (respondingBox === box && process !== undefined && upMs !== undefined) {
      const now = this.options.clock.getNow();
      // The clock of that box may be too fast.
      const toLatestTime = (ageMs: number): number => now - ageMs * (1 - leaderTimings.clockDriftShare);
      const vouchedBy = vouchedMs === undefined ? -Infinity : toLatestTime(vouchedMs);
      const report = { box, address: client.address, process, startedBy: toLatestTime(upMs), vouchedBy };
      this.options.handleBoxProcess(report, announcedEpoch);
    }
  }

  private async sendAnnouncement(
    other: AnnouncedBox,
    delivery: AnnouncementDelivery,
    announcement: LeaderAnnouncement,
  ): Promise<void> {
    this.inFlightCount += 1;
    delivery.nextAttemptAt = Infinity;
    delivery.attemptCount += 1;
    const response = await other.client.sendLeaderAnnouncement(announcement);
    this.inFlightCount -= 1;
    if (response !== undefined) {
      this.handleResponse(other, response, announcement.record.epoch);
      return;
    }
    if (delivery.attemptCount < MAX_DELIVERY_ATTEMPTS) {
      const retryMs = Math.min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS * 2 ** (delivery.attemptCount - 1));
      delivery.nextAttemptAt = this.options.clock.getNow() + retryMs;
      return;
    }
    this.options.logger.info('Box did not confirm the leader announcement.', {
      other: other.box,
      epoch: delivery.epoch,
      tries: delivery.attemptCount,
    });
  }
}
