import type { Clock } from '../common/Clock';
import { HttpJsonClient } from '../common/HttpJsonClient';
import type { JsonClient } from '../common/JsonClient';
import type { JsonClientOptions } from '../common/JsonClientOptions';
import type { JsonResult } from '../common/JsonResult';
import type { RelayClientId } from './RelayClientId';
import type { RelayConnection } from './RelayConnection';

type JsonRequest = Parameters<JsonClient['sendJsonRequest']>[0];

interface RelayedClientOptions extends JsonClientOptions {
  readonly clock: Clock;
  /** Returns the relay to use now; undefined to send calls directly. */
  readonly chooseRelay: () => RelayConnection | undefined;
  /** Called when this client stops. */
  readonly releaseRelay: () => void;
}

/** A relay, and this client there. */
interface RelayRoute {
  readonly relay: RelayConnection;
  readonly client: RelayClientId;
}

/** Time for which calls go directly after one through a relay has failed, since the relay may be cut off from the address. */
const DIRECT_AFTER_FAILURE_MS = 5000;

/** Returns whether a result may be due to the relay, which may be cut off from the address. */
const isRelaySuspect = (result: JsonResult, { mustReuseConnection }: JsonRequest): boolean =>
  result.kind === 'unanswered' || (result.kind === 'refused' && mustReuseConnection !== true);

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

  async sendJsonRequest(request: JsonRequest): Promise<JsonResult> {
    const { clock, chooseRelay } = this.options;
    if (this.isStopped) {
      return { kind: 'refused', detail: 'the client has stopped' };
    }
    const relay = clock.getNow() < this.directUntil ? undefined : chooseRelay();
    if (relay !== this.route?.relay && request.mustReuseConnection === true) {
      return { kind: 'refused', detail: 'the connection of the last response is no longer used' };
    }
    this.setRelay(relay);
    if (this.route === undefined) {
      return this.direct.sendJsonRequest(request);
    }
    const result = await this.route.relay.sendCall(this.route.client, request);
    if (isRelaySuspect(result, request)) {
      this.directUntil = clock.getNow() + DIRECT_AFTER_FAILURE_MS;
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
    this.route?.relay.cancelClient(this.route.client);
    this.options.releaseRelay();
    await this.direct.stop();
  }

  /** Sends later calls through a relay, or directly. Active calls end as usual. */
  private setRelay(relay: RelayConnection | undefined): void {
    if (relay === this.route?.relay) {
      return;
    }
    this.route?.relay.removeClient(this.route.client);
    this.direct.renewConnections();
    this.route = relay === undefined ? undefined : { relay, client: relay.addClient(this.options) };
  }
}
