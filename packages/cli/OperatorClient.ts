import { request } from 'undici';
import type { Result } from '../common/Result';
import { formatError } from '../common/formatError';
import type { Settings } from '../settings/Settings';

/** Response body of one box, or the error of the request to it. */
interface BoxResponse<Body> {
  readonly box: string;
  readonly answer: Result<Body, string>;
}

const POST_TIMEOUT_MS = 15_000;
const GET_TIMEOUT_MS = 2000;

/** HTTP client of the operator APIs of the entry boxes. */
export class OperatorClient {
  constructor(
    private readonly settings: Settings,
    /** Restricts requests to this box; undefined allows all boxes. */
    private readonly box: string | undefined,
  ) {}

  /** Sends a GET request for a path to all allowed boxes in parallel, and returns the response or the error of each. */
  async requestFromAll<Body>(path: string): Promise<readonly BoxResponse<Body>[]> {
    return Promise.all(
      this.getEntries().map(async (entry) => ({
        box: entry.box,
        answer: await this.sendRequest<Body>(entry.operators, path, undefined, GET_TIMEOUT_MS),
      })),
    );
  }

  /** Sends a GET request to one allowed box after the other until one responds; returns the last error when none does. */
  async requestFromAny<Body>(path: string): Promise<Result<Body, string>> {
    let last: Result<Body, string> = { ok: false, error: 'no entry box is named in the settings' };
    for (const entry of this.getEntries()) {
      last = await this.sendRequest<Body>(entry.operators, path, undefined, GET_TIMEOUT_MS);
      if (last.ok) {
        return last;
      }
    }
    return last;
  }

  /**
   * Posts to the first allowed box that responds to a status request. Never retries on another box, since the first may have applied it.
   */
  async sendToAny<Body>(path: string, body: unknown): Promise<Result<Body, string>> {
    for (const entry of this.getEntries()) {
      const status = await this.sendRequest<object>(entry.operators, '/status', undefined, GET_TIMEOUT_MS);
      if (status.ok) {
        return this.sendRequest<Body>(entry.operators, path, body, POST_TIMEOUT_MS);
      }
    }
    return { ok: false, error: 'no entry box responds' };
  }

  private getEntries(): Settings['entries'] {
    return this.settings.entries.filter((entry) => this.box === undefined || entry.box === this.box);
  }

  private async sendRequest<Body>(
    address: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<Body, string>> {
    try {
      const response = await request(`http://${address}${path}`, {
        method: body === undefined ? 'GET' : 'POST',
        headers: body === undefined ? {} : { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs),
      });
      return { ok: true, value: (await response.body.json()) as Body };
    } catch (thrown) {
      return { ok: false, error: formatError(thrown) };
    }
  }
}
