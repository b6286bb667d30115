import type { Result } from '../common/Result';
import type { AdviceClient } from '../dispatch/advice/AdviceClient';
import type { CallerGate } from '../gateway/CallerGate';
import type { EndpointClient } from '../dispatch/endpoints/EndpointClient';
import type { EndpointProfile } from '../dispatch/endpoints/EndpointProfile';
import type { JobService } from '../gateway/JobService';
import type { QueueConfiguration } from '../gateway/QueueConfiguration';
import type { QueueRouter } from '../gateway/QueueRouter';
import type { LogClient } from '../store/LogClient';

interface CallerServerOptions {
  readonly router: QueueRouter;
  readonly jobs: JobService;
  readonly isReady: () => boolean;
  readonly isLeaving: () => boolean;
  readonly gate: CallerGate;
}

interface CallerServerHandle {
  start(): Promise<void>;
  stop(): Promise<void>;
}

/** Everything that depends on how a platform speaks. `platform/` implements it. */
export interface ServeAdapter {
  /** Topics of the log that the platform writes. */
  readonly operatorTopic: string;
  readonly configurationKey: string;
  readonly endpointsTopic: string;
  createLogClient(): LogClient;
  createAdviceClient(): AdviceClient;
  /** A client of the life that the profile names; the token of each call is read as it is sent. */
  createEndpointClient(profile: EndpointProfile, readToken: () => number): EndpointClient;
  createCallerServer(input: CallerServerOptions): CallerServerHandle;
  /** On failure gives all problems at once. */
  parseConfiguration(text: string): Result<QueueConfiguration, readonly string[]>;
  /** On failure says what is wrong with the record. */
  parseEndpoint(id: string, text: string): Result<EndpointProfile, string>;
}
