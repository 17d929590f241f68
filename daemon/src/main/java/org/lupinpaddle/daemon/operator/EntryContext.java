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
package org.lupinpaddle.daemon.operator;

import com.codahale.metrics.MetricRegistry;
import org.lupinpaddle.daemon.config.ConfigSync;
import org.lupinpaddle.daemon.membership.Membership;
import org.lupinpaddle.daemon.settings.Settings;
import org.lupinpaddle.daemon.slot.SlotHost;
import org.lupinpaddle.daemon.trace.Traces;

/**
 * The components of an entry from which {@link QuestionAnswerer} reads its answers.
 *
 * @param entry the identity of this entry
 * @param config the source of the current configuration
 * @param membership the state of the other entries
 * @param slots the slots that this entry owns
 * @param traces the retained spans
 * @param metrics the entry's metrics
 */
public record EntryContext(
        Settings.Entry entry,
        ConfigSync config,
        Membership membership,
        SlotHost slots,
        Traces traces,
        MetricRegistry metrics) {}
