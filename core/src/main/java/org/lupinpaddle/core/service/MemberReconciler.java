/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.core.service;

import java.util.Optional;
import org.lupinpaddle.core.instance.InstanceRecord;
import org.lupinpaddle.core.instance.InstanceState;
import org.lupinpaddle.core.view.FleetView;

/**
 * Adds instances to the member set of their service once they are in service. The decision is based on one
 * view, a state that the store once had, and the write is conditional on the revision of the service record in
 * that view. An instance that leaves must first be removed from that record, so the write fails if a new
 * member has left in the meantime.
 */
public final class MemberReconciler {

    private MemberReconciler() {}

    /** Returns the service record with all instances that are newly in service added, or empty if there are none. */
    public static Optional<ServiceRecord> withNewMembers(FleetView view, ServiceRecord service, String writeId) {
        ServiceRecord next = service;
        for (InstanceRecord i : view.instancesOf(service.name())) {
            if (i.state() == InstanceState.IN_SERVICE && !service.members().contains(i.id())) {
                next = next.withMember(i.id(), writeId);
            }
        }
        return next.equals(service) ? Optional.empty() : Optional.of(next);
    }

    /** Returns the number of instances that must stay available: the budget plus the reserve. */
    public static int minAvailable(FleetView view, ServiceRecord service) {
        return service.budget()
                + service.reserve()
                        .size(service.members().stream()
                                .map(view.instances()::get)
                                .filter(java.util.Objects::nonNull)
                                .toList());
    }
}
