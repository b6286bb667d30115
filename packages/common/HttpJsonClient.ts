import { HttpClient } from './HttpClient';
import type { JsonClient } from './JsonClient';
import type { JsonClientOptions } from './JsonClientOptions';
import type { JsonResult } from './JsonResult';
import { parseJson } from './parseJson';

/** Posts JSON over connections of this process. */
export class HttpJsonClient implements JsonClient {
  private readonly httpClient: HttpClient;
  private readonly headers: Readonly<Record<string, string>>;

  constructor({ address, connections, headers }: JsonClientOptions) {
    this.httpClient = new HttpClient({ address, connections });
    this.headers = { 'content-type': 'application/json', ...headers };
  }

  async sendJsonRequest({
    path,
    body,
    timeoutMs,
    mustReuseConnection,
  }: Parameters<JsonClient['sendJsonRequest']>[0]): Promise<JsonResult> {
    const result = await this.httpClient.sendRequest({
      method: 'POST',
      path,
      headers: this.headers,
      body: JSON.stringify(body),
      timeoutMs,
      ...(mustReuseConnection === undefined ? {} : { mustReuseConnection }),
    });
    return result.kind === 'answered'
      ? { kind: 'answered', status: result.status, value: parseJson(result.body.toString('utf8')) }
      : result;
  }

  renewConnections(): void {
    this.httpClient.renewConnections();
  }

  stop(): Promise<void> {
    return this.httpClient.stop();
  }
}
