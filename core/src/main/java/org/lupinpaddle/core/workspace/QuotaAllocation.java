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
package org.lupinpaddle.core.workspace;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lupinpaddle.core.common.CheckedRecord;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.placement.Resources;

/**
 * The division of a workspace's quota among services, stored as one record per workspace with a quota. The owner of a service
 * changes only the grant of its own service, by compare-and-swap. A grant belongs to the service: the next owner takes it over
 * together with the runs that it covers.
 *
 * @param grants by service; services without a grant are left out
 */
public record QuotaAllocation(Map<String, Grant> grants) implements CheckedRecord {

    /** The empty allocation. */
    public static final QuotaAllocation NONE = new QuotaAllocation(Map.of());

    /**
     * The part of a quota that is granted to one service.
     *
     * @param granted the total amount that the service's tasks of the workspace may use
     * @param requested the total amount that they could use if it exceeds the grant; otherwise {@link Resources#NONE}
     */
    public record Grant(Resources granted, Resources requested) {

        static final Grant NONE = new Grant(Resources.NONE, Resources.NONE);

        private boolean isSound() {
            return granted.canHold(Resources.NONE) && requested.canHold(Resources.NONE);
        }
    }

    Grant grant(String service) {
        return grants.getOrDefault(service, Grant.NONE);
    }

    /** Returns a copy with the grant of one service replaced. */
    QuotaAllocation with(String service, Grant grant) {
        Map<String, Grant> next = new TreeMap<>(grants);
        if (grant.equals(Grant.NONE)) {
            next.remove(service);
        } else {
            next.put(service, grant);
        }
        return new QuotaAllocation(next);
    }

    @Override
    public Optional<Unreadable> findError() {
        return grants.values().stream().allMatch(Grant::isSound)
                ? Optional.empty()
                : Optional.of(Unreadable.Reason.OUT_OF_RANGE.in("grants"));
    }
}
