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

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import org.lupinpaddle.core.instance.InstanceRecord;

/**
 * The number of instances that a service keeps available above its budget during a wave, so that a failure
 * while instances are out does not break the budget. The reserve states how many simultaneous failures are
 * covered.
 */
public enum Reserve {
    /** No reserve: a failure during a wave may break the budget until drained instances are undrained. */
    NONE {
        @Override
        public int size(Collection<InstanceRecord> members) {
            return 0;
        }
    },
    /** Covers the failure of one instance. */
    INSTANCE {
        @Override
        public int size(Collection<InstanceRecord> members) {
            return 1;
        }
    },
    /** Covers the failure of the rack that holds most of the service's instances. */
    RACK {
        @Override
        public int size(Collection<InstanceRecord> members) {
            Map<String, Integer> byRack = new HashMap<>();
            members.forEach(i -> byRack.merge(i.hall() + "/" + i.rack(), 1, Integer::sum));
            return byRack.isEmpty() ? 0 : Collections.max(byRack.values());
        }
    };

    /** Returns the number of instances kept in reserve for a service with these members. */
    public abstract int size(Collection<InstanceRecord> members);
}
