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
 * How many instances a service keeps available above its budget during a wave, so that a failure that
 * comes while instances are out does not break the budget. No system can prevent a failure; the reserve
 * says how much failing at once is paid for.
 */
public enum Reserve {
    /** Nothing is held back: a failure during a wave may break the budget until the drains are put back. */
    NONE {
        @Override
        public int size(Collection<InstanceRecord> members) {
            return 0;
        }
    },
    /** One instance may fail. */
    INSTANCE {
        @Override
        public int size(Collection<InstanceRecord> members) {
            return 1;
        }
    },
    /** The rack that holds most of the service's instances may fail. */
    RACK {
        @Override
        public int size(Collection<InstanceRecord> members) {
            Map<String, Integer> byRack = new HashMap<>();
            members.forEach(i -> byRack.merge(i.hall() + "/" + i.rack(), 1, Integer::sum));
            return byRack.isEmpty() ? 0 : Collections.max(byRack.values());
        }
    };

    /** Returns how many instances are held back for a service with these members. */
    public abstract int size(Collection<InstanceRecord> members);
}
