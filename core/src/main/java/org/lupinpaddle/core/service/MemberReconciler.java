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
 * Counts instances as members of their service once they are in service. Decided on one view, which is a
 * state the store once had, and written against the ledger's revision of that view: whoever takes such an
 * instance out must first write the ledger, so a joiner that has left meanwhile makes the write fail.
 */
public final class MemberReconciler {

    private MemberReconciler() {}

    /** Returns the ledger with all joiners of the view added, if there are any. */
    public static Optional<ServiceRecord> withNewMembers(FleetView view, ServiceRecord service, String writeId) {
        ServiceRecord next = service;
        for (InstanceRecord i : view.instancesOf(service.name())) {
            if (i.state() == InstanceState.IN_SERVICE && !service.members().contains(i.id())) {
                next = next.withMember(i.id(), writeId);
            }
        }
        return next.equals(service) ? Optional.empty() : Optional.of(next);
    }

    /** Returns how many instances must stay available: the budget and what the reserve holds back. */
    public static int minAvailable(FleetView view, ServiceRecord service) {
        return service.budget()
                + service.reserve()
                        .size(service.members().stream()
                                .map(view.instances()::get)
                                .filter(java.util.Objects::nonNull)
                                .toList());
    }
}
