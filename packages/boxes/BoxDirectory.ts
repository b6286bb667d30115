import { z } from 'zod';
import { parseJson } from '../common/parseJson';
import type { LogRecord } from '../store/LogRecord';
import type { BoxPower } from './BoxPower';
import { boxPowerSchema } from './boxPowerSchema';
import { measureStrength } from './measureStrength';

const KEY_PREFIX = 'b/';
const recordSchema = boxPowerSchema.extend({ address: z.string() });
/** A box with so many times the strength of another is the stronger one. */
const STRONGER_RATIO = 1.5;

interface KnownBox extends BoxPower {
  readonly box: string;
  /** Host and port for calls between boxes. */
  readonly address: string;
  /** Monotonic time at which its newest announcement was read; -Infinity where it has only told of itself by a call. */
  readonly announcedAt: number;
}

/** The entry boxes that have announced themselves, in the log or by a call. Some may be gone. */
export class BoxDirectory {
  private readonly boxes = new Map<string, KnownBox>();

  /** Key under which a box announces itself. */
  static toKey(box: string): string {
    return `${KEY_PREFIX}${box}`;
  }

  static formatRecord(address: string, { cores, linkMbps }: BoxPower): string {
    return JSON.stringify({ address, cores, linkMbps });
  }

  /** Takes in what was read of the topic of jobs at a monotonic time. */
  foldRecords(records: readonly LogRecord[], readAt = -Infinity): void {
    for (const { key, value } of records) {
      if (!key.startsWith(KEY_PREFIX)) {
        continue;
      }
      const box = key.slice(KEY_PREFIX.length);
      const parsed = recordSchema.safeParse(parseJson(value));
      if (parsed.success) {
        this.boxes.set(box, { box, ...parsed.data, announcedAt: readAt });
      } else {
        this.boxes.delete(box);
      }
    }
  }

  /** A box has told by a call where it is. */
  recordBox(box: string, address: string, { cores, linkMbps }: BoxPower): void {
    const announcedAt = this.boxes.get(box)?.announcedAt ?? -Infinity;
    this.boxes.set(box, { box, address, cores, linkMbps, announcedAt });
  }

  readBoxes(): readonly KnownBox[] {
    return [...this.boxes.values()];
  }

  /** Boxes that are not clearly weaker than one with such power. */
  readPeers(own: BoxPower): readonly KnownBox[] {
    const strength = measureStrength(own);
    return this.readBoxes().filter((box) => measureStrength(box) * STRONGER_RATIO > strength);
  }

  /** Boxes that can bear so much more that they should lead rather than one with such power. */
  readStronger(own: BoxPower): readonly KnownBox[] {
    const strength = measureStrength(own);
    return this.readBoxes().filter((box) => measureStrength(box) >= strength * STRONGER_RATIO);
  }
}
