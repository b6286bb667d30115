import { z } from 'zod';
import { parseJson } from '../common/parseJson';
import type { LogRecord } from '../store/LogRecord';

const KEY_PREFIX = 'b/';
const addressSchema = z.object({ address: z.string() });

interface KnownBox {
  readonly box: string;
  /** Host and port for calls between boxes. */
  readonly address: string;
}

/** The entry boxes that have announced themselves in the log. Some may be gone. */
export class BoxDirectory {
  private readonly addresses = new Map<string, string>();

  /** Key under which a box announces itself. */
  static toKey(box: string): string {
    return `${KEY_PREFIX}${box}`;
  }

  static formatRecord(address: string): string {
    return JSON.stringify({ address });
  }

  foldRecords(records: readonly LogRecord[]): void {
    for (const { key, value } of records) {
      if (!key.startsWith(KEY_PREFIX)) {
        continue;
      }
      const box = key.slice(KEY_PREFIX.length);
      const parsed = addressSchema.safeParse(parseJson(value));
      if (parsed.success) {
        this.addresses.set(box, parsed.data.address);
      } else {
        this.addresses.delete(box);
      }
    }
  }

  readBoxes(): readonly KnownBox[] {
    return [...this.addresses].map(([box, address]) => ({ box, address }));
  }
}
