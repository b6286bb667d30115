import { waitForDelay } from '../../packages/common/waitForDelay';
import type { Random } from '../../packages/common/Random';
import { appendRules } from '../../packages/store/appendRules';
import type { LogClient } from '../../packages/store/LogClient';
import { KeyedTopic } from '../../packages/standins/platform/KeyedTopic';
import { logFrames } from '../../platform/logFrames';

/** Latency of each response. */
const LATENCY_MS = 4;

/** In-memory log for simulations on virtual time, with a constant latency. */
export class MemoryLog implements LogClient {
  private readonly topics = new Map<string, KeyedTopic>();
  /** Size above which a record is never taken, in bytes. */
  maxRecordBytes = 262_144;
  /** Keys and sizes of all records that were taken. */
  readonly recordSizes: { readonly key: string; readonly bytes: number }[] = [];
  /** Share of the appends that are written without a response. */
  lostResponseShare = 0;

  constructor(private readonly random: Random) {}

  writeRecord(topic: string, key: string, value: string): void {
    this.getTopic(topic).append(logFrames.formatWrites([{ key, value }]), undefined);
  }

  async append({
    topic,
    writes,
    writer,
    timeoutMs,
  }: Parameters<LogClient['append']>[0]): ReturnType<LogClient['append']> {
    await waitForDelay(LATENCY_MS);
    const sizes = writes.map((write) => ({ key: write.key, bytes: appendRules.computeRecordBytes(write) }));
    if (sizes.some(({ bytes }) => bytes > this.maxRecordBytes)) {
      return { ok: false, error: { kind: 'rejected', detail: 'record_bytes' } };
    }
    this.recordSizes.push(...sizes);
    const response = this.getTopic(topic).append(logFrames.formatWrites(writes), writer);
    if (response.status === 409) {
      return { ok: false, error: { kind: 'fenced', detail: response.body.reason } };
    }
    if (this.random() < this.lostResponseShare) {
      await waitForDelay(timeoutMs);
      return { ok: false, error: { kind: 'unknown', detail: 'lost' } };
    }
    return { ok: true, value: response.body.offset };
  }

  async readRecords({
    topic,
    fromOffset,
    waitMs,
  }: Parameters<LogClient['readRecords']>[0]): ReturnType<LogClient['readRecords']> {
    const topicState = this.getTopic(topic);
    if (topicState.getEndOffset() <= fromOffset) {
      await topicState.waitForAppend(waitMs);
    }
    await waitForDelay(LATENCY_MS);
    return {
      ok: true,
      value: logFrames.parseRecords(fromOffset, topicState.getReadBody(fromOffset, Infinity)!)!,
    };
  }

  async readPageOfNewestByKey({
    topic,
    afterKey = '',
  }: Parameters<LogClient['readPageOfNewestByKey']>[0]): ReturnType<LogClient['readPageOfNewestByKey']> {
    await waitForDelay(LATENCY_MS);
    const topicState = this.getTopic(topic);
    const records = topicState
      .listNewest(afterKey)
      .map(({ key, value, offset }) => ({ key, value: value.toString('utf8'), offset }));
    return { ok: true, value: { records, endOffset: topicState.getEndOffset(), hasMore: false } };
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }

  private getTopic(name: string): KeyedTopic {
    const topic = this.topics.get(name) ?? new KeyedTopic();
    this.topics.set(name, topic);
    return topic;
  }
}
