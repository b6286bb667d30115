import { Backoff } from '../common/Backoff';
import type { Random } from '../common/Random';
import { waitForDelay } from '../common/waitForDelay';
import type { LogPage } from './LogPage';
import type { PlatformClient } from './PlatformClient';
import type { PlatformError } from './PlatformError';
import type { StreamName } from './StreamName';

interface StreamReaderOptions {
  readonly client: PlatformClient;
  readonly stream: StreamName;
  /** How long the platform holds a read without news, in milliseconds. */
  readonly waitMs: number;
  readonly random: Random;
  /** The offset to read next; the owner of the fold keeps it. */
  readonly readNextOffset: () => number;
  readonly handlePage: (page: LogPage) => void;
  readonly handleError: (error: PlatformError) => void;
}

const RETRY_BASE_MS = 200;
const RETRY_MAX_MS = 5000;

/** A task that follows one stream by long polls. Errors are waited out with backoff and jitter, so no outage ends in a stampede. */
export class StreamReader {
  private readonly stopping = new AbortController();

  constructor(private readonly options: StreamReaderOptions) {}

  /** Follows the stream until stopped. */
  async start(): Promise<void> {
    const { client, stream, waitMs, random } = this.options;
    const backoff = new Backoff({ baseMs: RETRY_BASE_MS, maxMs: RETRY_MAX_MS, random });
    let isFirst = true;
    while (!this.stopping.signal.aborted) {
      // The first read does not wait for news: it tells where the stream ends.
      const page = await client.readPage(stream, this.options.readNextOffset(), isFirst ? 0 : waitMs);
      if (this.stopping.signal.aborted) {
        return;
      }
      if (page.ok) {
        backoff.recordSuccess();
        isFirst = false;
        this.options.handlePage(page.value);
      } else {
        this.options.handleError(page.error);
        await waitForDelay(backoff.computeNextDelay(), this.stopping.signal);
      }
    }
  }

  stop(): void {
    this.stopping.abort();
  }
}
