import type { Result } from '../common/Result';
import type { LogClient } from './LogClient';
import type { LogError } from './LogError';
import type { LogRecord } from './LogRecord';

interface TopicPage {
  readonly records: readonly LogRecord[];
  /** Offset to continue reading from; undefined until every key has been read. */
  readonly endOffset: number | undefined;
}

/**
 * Reads the newest record of every key of a topic, page by page. After a failure it resumes with the next page, so that even a slow
 * or unreliable link transfers the whole topic eventually.
 */
export class NewestReader {
  /** Last key of the newest page; undefined before the first page. */
  private afterKey: string | undefined;
  /** End of the topic at the first page. Reading continues from there, which repeats records that changed between pages. */
  private endOffset: number | undefined;
  private pageCount = 0;

  constructor(
    private readonly client: LogClient,
    private readonly topic: string,
  ) {}

  /** Returns the number of pages read. With more than one, records that were written between them may be missing. */
  countPages(): number {
    return this.pageCount;
  }

  /**
   * Reads the next page; without records when a concurrent call has read it. `timeoutMs` bounds the time without data from the log, not the
   * duration of the response.
   */
  async readPage(timeoutMs: number): Promise<Result<TopicPage, LogError>> {
    const { topic, afterKey } = this;
    const page = await this.client.readPageOfNewestByKey({ topic, afterKey, timeoutMs });
    if (!page.ok) {
      return page;
    }
    const { records, hasMore } = page.value;
    if (this.afterKey !== afterKey) {
      // A concurrent call has read this page already.
      return { ok: true, value: { records: [], endOffset: undefined } };
    }
    this.endOffset ??= page.value.endOffset;
    this.pageCount += 1;
    const last = records[records.length - 1];
    this.afterKey = last?.key ?? afterKey;
    const isComplete = !hasMore || last === undefined;
    return { ok: true, value: { records, endOffset: isComplete ? this.endOffset : undefined } };
  }
}
