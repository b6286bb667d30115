import type { Result } from '../common/Result';
import type { LogClient } from './LogClient';
import type { LogError } from './LogError';
import type { LogRecord } from './LogRecord';

interface PartOfTopic {
  readonly records: readonly LogRecord[];
  /** Offset from which the records go on; present once every key has been read. */
  readonly endOffset: number | undefined;
}

/**
 * Reads the newest record of every key of a topic, page by page. A page that came is kept: after a failure the reading goes on
 * where it stood, so that a whole topic passes a narrow or failing link in the end.
 */
export class NewestReader {
  private afterKey: string | undefined;
  /** End of the topic as the first page gave it: records that change between pages come again from there on. */
  private endOffset: number | undefined;

  constructor(
    private readonly client: LogClient,
    private readonly topic: string,
  ) {}

  /** Reads the next page. `timeoutMs` bounds the silence of the log, not the length of the answer. */
  async readPage(timeoutMs: number): Promise<Result<PartOfTopic, LogError>> {
    const { topic, afterKey } = this;
    const page = await this.client.readNewestPage({ topic, afterKey, timeoutMs });
    if (!page.ok) {
      return page;
    }
    const { records, hasMore } = page.value;
    if (this.afterKey !== afterKey) {
      // A call that was made again meanwhile was quicker.
      return { ok: true, value: { records: [], endOffset: undefined } };
    }
    this.endOffset ??= page.value.endOffset;
    const last = records[records.length - 1];
    this.afterKey = last?.key ?? afterKey;
    const isWhole = !hasMore || last === undefined;
    return { ok: true, value: { records, endOffset: isWhole ? this.endOffset : undefined } };
  }
}
