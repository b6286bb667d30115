import type { CustomerName } from './CustomerName';
import type { CustomerPolicy } from './CustomerPolicy';
import { toKeyDigest } from './toKeyDigest';

/** The customers of one version of the configuration. Looking a key up takes the same time however many there are. */
export class CustomerDirectory {
  private readonly byKey = new Map<string, CustomerPolicy>();
  private readonly byName = new Map<CustomerName, CustomerPolicy>();

  constructor(customers: readonly CustomerPolicy[]) {
    for (const customer of customers) {
      this.byName.set(customer.name, customer);
      customer.keys.forEach((digest) => this.byKey.set(digest, customer));
    }
  }

  /** The customer to whom a key belongs; undefined when no customer holds it. */
  findByKey(key: string): CustomerPolicy | undefined {
    return this.byKey.get(toKeyDigest(key));
  }

  findByName(name: CustomerName): CustomerPolicy | undefined {
    return this.byName.get(name);
  }

  listCustomers(): Iterable<CustomerPolicy> {
    return this.byName.values();
  }
}
