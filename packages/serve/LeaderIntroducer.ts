import type { BoxClient } from '../boxes/BoxClient';
import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import type { LeaderAnnouncement } from '../leadership/LeaderAnnouncement';

interface AnnouncedBox {
  readonly box: string;
  readonly client: BoxClient;
  /** Monotonic time at which its newest announcement was read. */
  readonly announcedAt: number;
}

interface LeaderIntroducerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly readOthers: () => readonly AnnouncedBox[];
  /** What this box says of itself; undefined while it does not lead. */
  readonly readIntroduction: () => LeaderAnnouncement | undefined;
}

/** How far one box has been told of one epoch. */
interface Told {
  readonly epoch: number;
  /** The announcement of the box that was the newest then: one that has started again must be told anew. */
  readonly announcedAt: number;
  /** Calls made for it so far. */
  tries: number;
  /** Monotonic time from which it is told again; Infinity once it has answered, or is given up. */
  nextAt: number;
}

/** Calls under way at a time: a leader of 300 boxes has told all of them after some 0.3 s, and opens few connections at once. */
const MAX_UNDER_WAY = 16;
const FIRST_RETRY_MS = 500;
const MAX_RETRY_MS = 8000;
/** A box that has announced itself no longer ago is told at once: it may have read the log only once. */
const NEW_BOX_MS = 3000;
/**
 * Others follow the log and know within 1 s who leads. They are told once a leader has led for so long: leaders that follow each other in
 * series, ten in 18 s at the worst, would have 300 boxes called each time.
 */
const SETTLED_MS = 3500;
/** A box without an answer after so many calls, about 50 s, is taken for gone; it is told anew once it announces itself again. */
const MAX_TRIES = 10;

/**
 * While this box leads, tells every box that has announced itself who leads and where it can be called.
 *
 * Boxes learn this from the log. One that the log turns away right after its start may have read neither, and would refuse every job for as long
 * as that lasts, though the leader could take it.
 */
export class LeaderIntroducer {
  private readonly told = new Map<string, Told>();
  private underWay = 0;
  private ledEpoch = 0;
  /** Monotonic time at which this box was first seen to lead that epoch. */
  private ledSince = -Infinity;

  constructor(private readonly options: LeaderIntroducerOptions) {}

  /** Tells those that may not know it yet. Call it often. */
  applyTime(): void {
    const introduction = this.options.readIntroduction();
    if (introduction === undefined) {
      return;
    }
    const now = this.options.clock.getNow();
    if (introduction.record.epoch !== this.ledEpoch) {
      this.ledEpoch = introduction.record.epoch;
      this.ledSince = now;
    }
    for (const other of this.options.readOthers()) {
      const told = this.readTold(other);
      if (this.underWay < MAX_UNDER_WAY && now >= told.nextAt) {
        void this.sendTo(other, told, introduction);
      }
    }
  }

  private readTold({ box, announcedAt }: AnnouncedBox): Told {
    const known = this.told.get(box);
    if (known?.epoch === this.ledEpoch && known.announcedAt === announcedAt) {
      return known;
    }
    const isNew = announcedAt + NEW_BOX_MS > this.ledSince;
    const nextAt = isNew ? -Infinity : this.ledSince + SETTLED_MS;
    const told: Told = { epoch: this.ledEpoch, announcedAt, tries: 0, nextAt };
    this.told.set(box, told);
    return told;
  }

  private async sendTo(other: AnnouncedBox, told: Told, introduction: LeaderAnnouncement): Promise<void> {
    this.underWay += 1;
    told.nextAt = Infinity;
    told.tries += 1;
    const isTold = await other.client.sendIntroduction(introduction);
    this.underWay -= 1;
    if (isTold) {
      return;
    }
    if (told.tries < MAX_TRIES) {
      const retryMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** (told.tries - 1));
      told.nextAt = this.options.clock.getNow() + retryMs;
      return;
    }
    this.options.logger.info('A box does not answer the leader.', {
      other: other.box,
      epoch: told.epoch,
      tries: told.tries,
    });
  }
}
