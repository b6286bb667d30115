import { Waiters } from './Waiters';

interface StoredRecord {
  readonly key: string;
  readonly value: Buffer;
  readonly frame: Buffer;
}

interface ProducerState {
  epoch: number;
  sequence: number;
  readonly answers: Map<number, { readonly offset: number; readonly end: number }>;
}

type AppendAnswer =
  | { readonly status: 200; readonly body: { readonly offset: number; readonly end: number } }
  | { readonly status: 409; readonly body: { readonly reason: string; readonly wanted?: number } };

interface AppendWriter {
  readonly producer: string;
  readonly epoch: number;
  readonly sequence: number;
}

const LENGTH_BYTES = 4;
const REMEMBERED_ANSWERS = 5;

/** One keyed topic of the stand-in for the platform's log: appends in order, producer epochs, newest record by key. */
export class KeyedTopic {
  private readonly records: StoredRecord[] = [];
  private readonly newest = new Map<string, number>();
  private readonly producers = new Map<string, ProducerState>();
  private readonly waiters = new Waiters();
  private firstKept = 0;

  append(frames: Buffer, writer: AppendWriter | undefined): AppendAnswer {
    const state = writer === undefined ? undefined : this.readProducer(writer);
    if (writer !== undefined && state !== undefined) {
      if (writer.epoch < state.epoch) {
        return { status: 409, body: { reason: 'fenced' } };
      }
      const repeated = writer.epoch === state.epoch ? state.answers.get(writer.sequence) : undefined;
      if (repeated !== undefined) {
        return { status: 200, body: repeated };
      }
      if (writer.epoch === state.epoch && state.sequence !== -1 && writer.sequence !== state.sequence + 1) {
        return { status: 409, body: { reason: 'seq', wanted: state.sequence + 1 } };
      }
    }
    const offset = this.records.length;
    this.recordFrames(frames);
    const answer = { offset, end: this.records.length };
    if (writer !== undefined && state !== undefined) {
      this.recordAnswer(state, writer, answer);
    }
    this.waiters.stopAll();
    return { status: 200, body: answer };
  }

  /** The read answer from an offset on; undefined when those records are gone. */
  readFrames(fromOffset: number): Buffer | undefined {
    if (fromOffset < this.firstKept) {
      return undefined;
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(this.records.length), 0);
    header.writeBigUInt64BE(BigInt(this.firstKept), 8);
    return Buffer.concat([header, ...this.records.slice(fromOffset).map((record) => record.frame)]);
  }

  readEnd(): number {
    return this.records.length;
  }

  readFirstKept(): number {
    return this.firstKept;
  }

  /** Newest record of each key, in the order of the keys, after a key. */
  readNewest(afterKey: string): readonly { key: string; value: Buffer; offset: number }[] {
    return [...this.newest]
      .filter(([key]) => key > afterKey)
      .sort(([left], [right]) => (left < right ? -1 : 1))
      .map(([key, offset]) => ({ key, value: this.records[offset]!.value, offset }));
  }

  /** Resolves at the next append, or after a time. */
  startWait(waitMs: number): Promise<void> {
    return this.waiters.startWait(waitMs);
  }

  /** Forgets the history; the newest record of each key stays. */
  applyCompaction(): void {
    this.firstKept = this.records.length;
  }

  private readProducer(writer: AppendWriter): ProducerState {
    const known = this.producers.get(writer.producer);
    if (known !== undefined && known.epoch >= writer.epoch) {
      return known;
    }
    const created: ProducerState = { epoch: writer.epoch, sequence: -1, answers: new Map() };
    this.producers.set(writer.producer, created);
    return created;
  }

  private recordAnswer(
    state: ProducerState,
    writer: AppendWriter,
    answer: { offset: number; end: number },
  ): void {
    state.sequence = writer.sequence;
    state.answers.set(writer.sequence, answer);
    state.answers.delete(writer.sequence - REMEMBERED_ANSWERS);
  }

  private recordFrames(frames: Buffer): void {
    let position = 0;
    while (position < frames.length) {
      const end = position + LENGTH_BYTES + frames.readUInt32BE(position);
      const frame = Buffer.from(frames.subarray(position, end));
      const keyLength = frame.readUInt8(LENGTH_BYTES);
      const key = frame.toString('utf8', LENGTH_BYTES + 1, LENGTH_BYTES + 1 + keyLength);
      const value = frame.subarray(LENGTH_BYTES + 1 + keyLength);
      if (value.length === 0) {
        this.newest.delete(key);
      } else {
        this.newest.set(key, this.records.length);
      }
      this.records.push({ key, value, frame });
      position = end;
    }
  }
}
