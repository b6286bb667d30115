import type { JsonClient } from '../common/JsonClient';
import type { JsonClientOptions } from '../common/JsonClientOptions';
import type { Logger } from '../common/Logger';
import type { Result } from '../common/Result';
import type { AdviceClient } from '../dispatch/advice/AdviceClient';
import type { CallerAuthorizer } from '../gateway/CallerAuthorizer';
import type { EndpointClient } from '../dispatch/endpoints/EndpointClient';
import type { EndpointProfile } from '../dispatch/endpoints/EndpointProfile';
import type { JobService } from '../gateway/JobService';
import type { ListenerLimits } from '../gateway/ListenerLimits';
import type { QueueConfiguration } from '../gateway/QueueConfiguration';
import type { QueueRouter } from '../gateway/QueueRouter';
import type { RefusalCause } from '../gateway/RefusalCause';
import type { LogClient } from '../store/LogClient';

interface CallerServerOptions {
  readonly router: QueueRouter;
  readonly jobs: JobService;
  readonly isReady: () => boolean;
  readonly isStopping: () => boolean;
  readonly authorizer: CallerAuthorizer;
  readonly logger: Logger;
  readonly callerLimits: ListenerLimits;
  readonly readinessLimits: ListenerLimits;
  /** Called for each request that is refused and each connection that is closed by a limit. */
  readonly recordRefusal: (cause: RefusalCause) => void;
}

interface CallerServerHandle {
  start(): Promise<void>;
  /** Stops accepting callers, answers the requests in progress, and ends within the timeout in milliseconds. */
  stop(timeoutMs: number): Promise<void>;
}

/** Protocols and record formats of the platform. Implemented in `platform/`. */
export interface ServeAdapter {
  /** Log topic of the configuration. */
  readonly operatorTopic: string;
  /** Key of the configuration record in the operator topic. */
  readonly configurationKey: string;
  /** Log topic of the endpoint records. */
  readonly endpointsTopic: string;
  createLogClient(): LogClient;
  createAdviceClient(): AdviceClient;
  /**
   * Creates a client of the incarnation that the profile names; `getToken` returns the fencing token for each request, and `createJsonClient` creates
   * the clients that send them.
   */
  createEndpointClient(
    profile: EndpointProfile,
    getToken: () => number,
    createJsonClient: (options: JsonClientOptions) => JsonClient,
  ): EndpointClient;
  createCallerServer(input: CallerServerOptions): CallerServerHandle;
  /** Parses the text of a configuration; on failure returns all problems. */
  parseConfiguration(text: string): Result<QueueConfiguration, readonly string[]>;
  /** Parses the record of an endpoint; on failure returns the problem. */
  parseEndpoint(id: string, text: string): Result<EndpointProfile, string>;
}
