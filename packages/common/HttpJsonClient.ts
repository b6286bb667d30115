import { formatJson } from './formatJson';
import { HttpClient } from './HttpClient';
import type { JsonClient } from './JsonClient';
import type { JsonClientOptions } from './JsonClientOptions';
import type { JsonResult } from './JsonResult';
import { parseJson } from './parseJson';
import type { TextResult } from './TextResult';

type JsonRequest = Parameters<JsonClient['sendJsonRequest']>[0];

/** Posts JSON over connections of this process. */
export class HttpJsonClient implements JsonClient {
  private readonly httpClient: HttpClient;
  private readonly headers: Readonly<Record<string, string>>;

  constructor({ address, connections, headers }: JsonClientOptions) {
    this.httpClient = new HttpClient({ address, connections });
    this.headers = { 'content-type': 'application/json', ...headers };
  }

  async sendJsonRequest(request: JsonRequest): Promise<JsonResult> {
    const result = await this.sendForText(request);
    return result.kind === 'answered'
      ? { kind: 'answered', status: result.status, value: parseJson(result.text) }
      : result;
  }

  /** Sends a request, and resolves to the text of the response. Never rejects: a body that can't be formatted is not sent. */
  async sendForText({ path, body, timeoutMs, mustReuseConnection }: JsonRequest): Promise<TextResult> {
    const text = formatJson(body);
    if (!text.ok) {
      return { kind: 'refused', detail: text.error };
    }
    const result = await this.httpClient.sendRequest({
      method: 'POST',
      path,
      headers: this.headers,
      body: text.value,
      timeoutMs,
      ...(mustReuseConnection === undefined ? {} : { mustReuseConnection }),
    });
    return result.kind === 'answered'
      ? { kind: 'answered', status: result.status, text: result.body.toString('utf8') }
      : result;
  }

  renewConnections(): void {
    this.httpClient.renewConnections();
  }

  stop(): Promise<void> {
    return this.httpClient.stop();
  }
}
