/** Whom a listener serves: callers, the load balancer's readiness check, or other boxes and metrics collectors. */
export type ListenerRole = 'callers' | 'readiness' | 'boxes';
