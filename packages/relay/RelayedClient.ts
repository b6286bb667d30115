import type { Clock } from '../common/Clock';
import { HttpJsonClient } from '../common/HttpJsonClient';
import type { JsonClient } from '../common/JsonClient';
import type { JsonClientOptions } from '../common/JsonClientOptions';
import type { JsonResult } from '../common/JsonResult';
import type { RelayConnection } from './RelayConnection';

interface RelayedClientOptions extends JsonClientOptions {
  readonly clock: Clock;
  /** Returns the relay to use now; undefined to send calls directly. */
  readonly chooseRelay: () => RelayConnection | undefined;
  /** Called when the address is no longer used. */
  readonly releaseRelay: () => void;
}

interface RelayRoute {
  readonly relay: RelayConnection;
  /** Number of this client at the relay. */
  readonly client: number;
}

/** Time for which calls go directly after one through a relay has failed, since the relay may be cut off from the address. */
const DIRECT_AFTER_FAILURE_MS = 5000;

/** Client of one address whose calls are sent by a relay while there is one, and directly otherwise. */
export class RelayedClient implements JsonClient {
  private readonly direct: HttpJsonClient;
  /** The way that the last call took; undefined for a direct one. */
  private route: RelayRoute | undefined;
  private directUntil = -Infinity;
  private isStopped = false;

  constructor(private readonly options: RelayedClientOptions) {
    this.direct = new HttpJsonClient(options);
  }

  async sendJsonRequest(request: Parameters<JsonClient['sendJsonRequest']>[0]): Promise<JsonResult> {
    if (this.isStopped) {
      return { kind: 'refused', detail: 'the client has stopped' };
    }
    const relay = this.options.clock.getNow() < this.directUntil ? undefined : this.options.chooseRelay();
    if (relay !== this.route?.relay) {
      if (request.mustReuseConnection === true) {
        return { kind: 'refused', detail: 'the connection of the last response is no longer used' };
      }
      this.setRoute(relay);
    }
    const { route } = this;
    if (route === undefined) {
      return this.direct.sendJsonRequest(request);
    }
    const result = await route.relay.sendCall(route.client, request);
    const hasFailed = result.kind === 'refused' || result.kind === 'unanswered';
    if (hasFailed && request.mustReuseConnection !== true) {
      this.directUntil = this.options.clock.getNow() + DIRECT_AFTER_FAILURE_MS;
    }
    return result;
  }

  renewConnections(): void {
    if (this.route === undefined) {
      this.direct.renewConnections();
    } else {
      this.route.relay.renewClient(this.route.client);
    }
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    this.route?.relay.removeClient(this.route.client, true);
    this.options.releaseRelay();
    await this.direct.stop();
  }

  /** Sends later calls another way. Active calls end as usual. */
  private setRoute(relay: RelayConnection | undefined): void {
    this.route?.relay.removeClient(this.route.client, false);
    this.direct.renewConnections();
    this.route = relay === undefined ? undefined : { relay, client: relay.addClient(this.options) };
  }
}
