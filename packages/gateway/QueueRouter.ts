import { CustomerDirectory } from '../customers/CustomerDirectory';
import type { ServiceName } from '../jobs/ServiceName';
import type { QueueConfiguration } from './QueueConfiguration';
import type { QueueRoute } from './QueueRoute';

/** Holds the current configuration, and routes calls to queues by host and longest path prefix. */
export class QueueRouter {
  private configuration: QueueConfiguration | undefined;
  private routesByHost = new Map<string, QueueRoute[]>();
  private services: ReadonlySet<ServiceName> = new Set();
  private customers = new CustomerDirectory([]);

  /** Replaces the configuration if the given one has a higher version. Returns whether it was replaced. */
  applyConfiguration(configuration: QueueConfiguration): boolean {
    if (this.configuration !== undefined && configuration.version <= this.configuration.version) {
      return false;
    }
    const routesByHost = new Map<string, QueueRoute[]>();
    for (const route of configuration.routes) {
      const routes = routesByHost.get(route.host) ?? [];
      routes.push(route);
      routesByHost.set(route.host, routes);
    }
    for (const routes of routesByHost.values()) {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
    this.configuration = configuration;
    this.routesByHost = routesByHost;
    this.services = new Set(configuration.routes.map(({ queue }) => queue.service));
    this.customers = new CustomerDirectory(configuration.customers);
    return true;
  }

  /** Returns the current configuration; undefined before the first one. */
  getConfiguration(): QueueConfiguration | undefined {
    return this.configuration;
  }

  /** Returns whether any queue runs its tasks on endpoints of the service. */
  hasService(service: ServiceName): boolean {
    return this.services.has(service);
  }

  getCustomers(): CustomerDirectory {
    return this.customers;
  }

  /** Returns the route of a host (without port) and path, or undefined. */
  findRoute(host: string, path: string): QueueRoute | undefined {
    return this.routesByHost.get(host)?.find((route) => path.startsWith(route.pathPrefix));
  }
}
