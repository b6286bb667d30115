import { request } from 'undici';
import type { Result } from '../common/Result';
import { formatError } from '../common/formatError';
import type { Settings } from '../settings/Settings';

interface BoxAnswer<Answer> {
  readonly box: string;
  readonly answer: Result<Answer, string>;
}

const TIMEOUT_MS = 15_000;
const ASK_TIMEOUT_MS = 2000;

/** Calls the operators' listeners of the entry boxes. */
export class OperatorClient {
  constructor(
    private readonly settings: Settings,
    /** Only this box when given. */
    private readonly box: string | undefined,
  ) {}

  /** Reads a path from every box. */
  async readAll<Answer>(path: string): Promise<readonly BoxAnswer<Answer>[]> {
    return Promise.all(
      this.readEntries().map(async (entry) => ({
        box: entry.box,
        answer: await this.send<Answer>(entry.operators, path, undefined, ASK_TIMEOUT_MS),
      })),
    );
  }

  /** Reads a path from the first box that answers. */
  async readAny<Answer>(path: string): Promise<Result<Answer, string>> {
    let last: Result<Answer, string> = { ok: false, error: 'no entry box is named in the settings' };
    for (const entry of this.readEntries()) {
      last = await this.send<Answer>(entry.operators, path, undefined, ASK_TIMEOUT_MS);
      if (last.ok) {
        return last;
      }
    }
    return last;
  }

  /** Posts to the first box that can be reached; never to a second one once the first may have taken it. */
  async writeAny<Answer>(path: string, body: unknown): Promise<Result<Answer, string>> {
    for (const entry of this.readEntries()) {
      const alive = await this.send<object>(entry.operators, '/status', undefined, ASK_TIMEOUT_MS);
      if (alive.ok) {
        return this.send<Answer>(entry.operators, path, body, TIMEOUT_MS);
      }
    }
    return { ok: false, error: 'no entry box answers' };
  }

  private readEntries(): Settings['entries'] {
    return this.settings.entries.filter((entry) => this.box === undefined || entry.box === this.box);
  }

  private async send<Answer>(
    address: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<Answer, string>> {
    try {
      const answer = await request(`http://${address}${path}`, {
        method: body === undefined ? 'GET' : 'POST',
        headers: body === undefined ? {} : { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs),
      });
      return { ok: true, value: (await answer.body.json()) as Answer };
    } catch (thrown) {
      return { ok: false, error: formatError(thrown) };
    }
  }
}
