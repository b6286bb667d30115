import { hostPortSchema } from '../common/hostPortSchema';
import { parseJson } from '../common/parseJson';
import type { LogRecord } from '../store/LogRecord';
import type { BoxResources } from './BoxResources';
import { boxResourcesSchema } from './boxResourcesSchema';
import { computeLeaderCapacity } from './computeLeaderCapacity';

const ANNOUNCEMENT_KEY_PREFIX = 'b/';
const announcementSchema = boxResourcesSchema.extend({ address: hostPortSchema });
/** Ratio of leader capacities from which a box counts as clearly stronger than another. */
const MIN_STRONGER_RATIO = 1.5;

interface KnownBox extends BoxResources {
  readonly box: string;
  /** Host and port for requests between boxes. */
  readonly address: string;
  /** Monotonic time at which its newest announcement was read from the log, in milliseconds; -Infinity without one. */
  readonly announcedAt: number;
}

/** Entry boxes that have announced themselves, in the log or by a request. Some may no longer exist. */
export class BoxDirectory {
  private readonly boxes = new Map<string, KnownBox>();
  /** Cached result of `listBoxes`; undefined after a change. */
  private boxList: readonly KnownBox[] | undefined;

  /** Returns the log key of the announcement of a box. */
  static toAnnouncementKey(box: string): string {
    return `${ANNOUNCEMENT_KEY_PREFIX}${box}`;
  }

  /** Formats a box's address and resources as the value of its announcement in the log. */
  static formatAnnouncement(address: string, { cores, linkMbps }: BoxResources): string {
    return JSON.stringify({ address, cores, linkMbps });
  }

  /**
   * Applies the announcements among records of the jobs topic, read at a monotonic time in milliseconds. Removes boxes with an invalid or
   * empty one.
   */
  foldRecords(records: readonly LogRecord[], readAt = -Infinity): void {
    for (const { key, value } of records) {
      if (!key.startsWith(ANNOUNCEMENT_KEY_PREFIX)) {
        continue;
      }
      this.boxList = undefined;
      const box = key.slice(ANNOUNCEMENT_KEY_PREFIX.length);
      const parsed = announcementSchema.safeParse(parseJson(value));
      if (parsed.success) {
        this.boxes.set(box, { box, ...parsed.data, announcedAt: readAt });
      } else {
        this.boxes.delete(box);
      }
    }
  }

  /** Sets the address and resources that a box announced by a request. Keeps the time of its announcement in the log. */
  setBox(box: string, address: string, { cores, linkMbps }: BoxResources): void {
    const announcedAt = this.boxes.get(box)?.announcedAt ?? -Infinity;
    this.boxes.set(box, { box, address, cores, linkMbps, announcedAt });
    this.boxList = undefined;
  }

  /** Returns all known boxes; the same array until the next change. */
  listBoxes(): readonly KnownBox[] {
    this.boxList ??= [...this.boxes.values()];
    return this.boxList;
  }

  /** Returns the boxes that are not clearly weaker than a box with the given resources. */
  listPeers(own: BoxResources): readonly KnownBox[] {
    const ownCapacity = computeLeaderCapacity(own);
    return this.listBoxes().filter((box) => computeLeaderCapacity(box) * MIN_STRONGER_RATIO > ownCapacity);
  }

  /** Returns the boxes that are clearly stronger than a box with the given resources. */
  listStronger(own: BoxResources): readonly KnownBox[] {
    const ownCapacity = computeLeaderCapacity(own);
    return this.listBoxes().filter((box) => computeLeaderCapacity(box) >= ownCapacity * MIN_STRONGER_RATIO);
  }
}
