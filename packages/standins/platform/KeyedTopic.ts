import { Waiters } from './Waiters';

interface StoredRecord {
  readonly key: string;
  readonly value: Buffer;
  /** Record as it was appended: length, key and value. */
  readonly frame: Buffer;
}

interface ProducerState {
  epoch: number;
  /** Sequence number of the last append of the epoch; -1 before the first. */
  sequence: number;
  /** Results of the newest appends, by sequence number. */
  readonly results: Map<number, { readonly offset: number; readonly end: number }>;
}

type AppendResponse =
  | { readonly status: 200; readonly body: { readonly offset: number; readonly end: number } }
  | {
      readonly status: 409;
      readonly body: {
        readonly reason: string;
        /** Expected sequence number. */
        readonly wanted?: number;
      };
    };

/** Producer of an append, for fencing and deduplication. */
interface AppendWriter {
  readonly producer: string;
  readonly epoch: number;
  readonly sequence: number;
}

const FRAME_LENGTH_BYTES = 4;
const MAX_RESULTS_PER_PRODUCER = 5;

/**
 * Keyed topic of the stand-in for the platform's log. Checks the epochs and sequence numbers of producers, and keeps the newest record by
 * key.
 */
export class KeyedTopic {
  private readonly records: StoredRecord[] = [];
  private readonly newestOffsets = new Map<string, number>();
  private readonly producers = new Map<string, ProducerState>();
  private readonly waiters = new Waiters();
  /** Offset of the first record that can still be read. */
  private firstOffset = 0;

  /**
   * Appends records and returns the response. Repeats a recent result for a repeated sequence number, and rejects outdated epochs and other
   * numbers than the next.
   */
  append(frames: Buffer, writer: AppendWriter | undefined): AppendResponse {
    const state = writer === undefined ? undefined : this.updateProducerState(writer);
    if (writer !== undefined && state !== undefined) {
      if (writer.epoch < state.epoch) {
        return { status: 409, body: { reason: 'fenced' } };
      }
      const earlierResult = writer.epoch === state.epoch ? state.results.get(writer.sequence) : undefined;
      if (earlierResult !== undefined) {
        return { status: 200, body: earlierResult };
      }
      if (writer.epoch === state.epoch && state.sequence !== -1 && writer.sequence !== state.sequence + 1) {
        return { status: 409, body: { reason: 'seq', wanted: state.sequence + 1 } };
      }
    }
    const offset = this.records.length;
    this.addFrames(frames);
    const result = { offset, end: this.records.length };
    if (writer !== undefined && state !== undefined) {
      this.recordResult(state, writer, result);
    }
    this.waiters.releaseAll();
    return { status: 200, body: result };
  }

  /**
   * Returns the response body of a read from an offset on, with records of at most `maxBytes` but at least one; undefined when the offset is
   * before the first readable one.
   */
  getReadBody(fromOffset: number, maxBytes: number): Buffer | undefined {
    if (fromOffset < this.firstOffset) {
      return undefined;
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(this.records.length), 0);
    header.writeBigUInt64BE(BigInt(this.firstOffset), 8);
    const frames: Buffer[] = [];
    let bytes = 0;
    for (let offset = fromOffset; offset < this.records.length; offset += 1) {
      const { frame } = this.records[offset]!;
      bytes += frame.length;
      if (frames.length > 0 && bytes > maxBytes) {
        break;
      }
      frames.push(frame);
    }
    return Buffer.concat([header, ...frames]);
  }

  /** Returns the offset of the next record. */
  getEndOffset(): number {
    return this.records.length;
  }

  getFirstOffset(): number {
    return this.firstOffset;
  }

  /** Returns the newest record of each key greater than `afterKey`, sorted by key. */
  listNewest(afterKey: string): readonly { key: string; value: Buffer; offset: number }[] {
    return [...this.newestOffsets]
      .filter(([key]) => key > afterKey)
      .sort(([left], [right]) => (left < right ? -1 : 1))
      .map(([key, offset]) => ({ key, value: this.records[offset]!.value, offset }));
  }

  /** Resolves at the next append, or after a timeout. */
  waitForAppend(waitMs: number): Promise<void> {
    return this.waiters.waitForRelease(waitMs);
  }

  /** Makes all present records unreadable by offset, as after compaction; the newest of each key stays in `listNewest`. */
  runCompaction(): void {
    this.firstOffset = this.records.length;
  }

  /** Returns the state of a writer's producer, replaced by an empty one when the producer is new or the epoch is higher. */
  private updateProducerState(writer: AppendWriter): ProducerState {
    const current = this.producers.get(writer.producer);
    if (current !== undefined && current.epoch >= writer.epoch) {
      return current;
    }
    const created: ProducerState = { epoch: writer.epoch, sequence: -1, results: new Map() };
    this.producers.set(writer.producer, created);
    return created;
  }

  /** Records the result of an append for its repetition, and drops the oldest kept result. */
  private recordResult(
    state: ProducerState,
    writer: AppendWriter,
    result: { offset: number; end: number },
  ): void {
    state.sequence = writer.sequence;
    state.results.set(writer.sequence, result);
    state.results.delete(writer.sequence - MAX_RESULTS_PER_PRODUCER);
  }

  /** Adds the records of length-prefixed frames. A record with an empty value removes its key from the newest ones. */
  private addFrames(frames: Buffer): void {
    let position = 0;
    while (position < frames.length) {
      const end = position + FRAME_LENGTH_BYTES + frames.readUInt32BE(position);
      const frame = Buffer.from(frames.subarray(position, end));
      const keyLength = frame.readUInt8(FRAME_LENGTH_BYTES);
      const key = frame.toString('utf8', FRAME_LENGTH_BYTES + 1, FRAME_LENGTH_BYTES + 1 + keyLength);
      const value = frame.subarray(FRAME_LENGTH_BYTES + 1 + keyLength);
      if (value.length === 0) {
        this.newestOffsets.delete(key);
      } else {
        this.newestOffsets.set(key, this.records.length);
      }
      this.records.push({ key, value, frame });
      position = end;
    }
  }
}
