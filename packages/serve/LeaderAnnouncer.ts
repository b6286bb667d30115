import type { BoxClient } from '../boxes/BoxClient';
import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import type { LeaderIntroduction } from '../leadership/LeaderIntroduction';

interface AnnouncedBox {
  readonly box: string;
  readonly client: BoxClient;
  /** Monotonic time at which its newest announcement was read. */
  readonly announcedAt: number;
}

interface LeaderAnnouncerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly listOthers: () => readonly AnnouncedBox[];
  /** What this box says of itself; undefined while it does not lead. */
  readonly createAnnouncement: () => LeaderIntroduction | undefined;
}

/** How far one box has been told of one epoch. */
interface Delivery {
  readonly epoch: number;
  /** The announcement of the box that was the newest then: one that has started again must be told anew. */
  readonly announcedAt: number;
  /** Calls made for it so far. */
  attempts: number;
  /** Monotonic time from which it is told again; Infinity once it has answered, or is given up. */
  nextAt: number;
}

/** Calls under way at a time: a leader of 300 boxes has told all of them after some 0.3 s, and opens few connections at once. */
const MAX_CONCURRENT_REQUESTS = 16;
const FIRST_RETRY_MS = 500;
const MAX_RETRY_MS = 8000;
/** A box that has announced itself no longer ago is told at once: it may have read the log only once. */
const NEW_BOX_AGE_MS = 3000;
/**
 * Others follow the log and know within 1 s who leads. They are told once a leader has led for so long: leaders that follow each other in
 * series, ten in 18 s at the worst, would have 300 boxes called each time.
 */
const STABLE_LEADER_MS = 3500;
/** A box without an answer after so many calls, about 50 s, is taken for gone; it is told anew once it announces itself again. */
const MAX_ATTEMPTS = 10;

/**
 * While this box leads, tells every box that has announced itself who leads and where it can be called.
 *
 * Boxes learn this from the log. One that the log turns away right after its start may have read neither, and would refuse every job for as long
 * as that lasts, though the leader could take it.
 */
export class LeaderAnnouncer {
  private readonly deliveries = new Map<string, Delivery>();
  private inFlight = 0;
  private ledEpoch = 0;
  /** Monotonic time at which this box was first seen to lead that epoch. */
  private ledSince = -Infinity;

  constructor(private readonly options: LeaderAnnouncerOptions) {}

  /** Tells those that may not know it yet. Call it often. */
  handleTick(): void {
    const announcement = this.options.createAnnouncement();
    if (announcement === undefined) {
      return;
    }
    const now = this.options.clock.readNow();
    if (announcement.record.epoch !== this.ledEpoch) {
      this.ledEpoch = announcement.record.epoch;
      this.ledSince = now;
    }
    for (const other of this.options.listOthers()) {
      const delivery = this.getDelivery(other);
      if (this.inFlight < MAX_CONCURRENT_REQUESTS && now >= delivery.nextAt) {
        void this.sendAnnouncement(other, delivery, announcement);
      }
    }
  }

  private getDelivery({ box, announcedAt }: AnnouncedBox): Delivery {
    const known = this.deliveries.get(box);
    if (known?.epoch === this.ledEpoch && known.announcedAt === announcedAt) {
      return known;
    }
    const isNew = announcedAt + NEW_BOX_AGE_MS > this.ledSince;
    const nextAt = isNew ? -Infinity : this.ledSince + STABLE_LEADER_MS;
    const delivery: Delivery = { epoch: this.ledEpoch, announcedAt, attempts: 0, nextAt };
    this.deliveries.set(box, delivery);
    return delivery;
  }

  private async sendAnnouncement(
    other: AnnouncedBox,
    delivery: Delivery,
    announcement: LeaderIntroduction,
  ): Promise<void> {
    this.inFlight += 1;
    delivery.nextAt = Infinity;
    delivery.attempts += 1;
    const isDelivered = await other.client.sendLeaderAnnouncement(announcement);
    this.inFlight -= 1;
    if (isDelivered) {
      return;
    }
    if (delivery.attempts < MAX_ATTEMPTS) {
      const retryMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** (delivery.attempts - 1));
      delivery.nextAt = this.options.clock.readNow() + retryMs;
      return;
    }
    this.options.logger.info('A box does not answer the leader.', {
      other: other.box,
      epoch: delivery.epoch,
      tries: delivery.attempts,
    });
  }
}
